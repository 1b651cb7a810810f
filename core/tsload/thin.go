package tsload

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericshed"
)

const (
	// digestLife is the age from which a reading is not sent to another failure domain:
	// it would be too old when the entry VMs there get it.
	digestLife = Life / 2
	// digestRefresh is the time after which a server's reading is sent although it did not
	// change. Until then the reading that was sent before describes it well enough.
	digestRefresh = 4 * time.Second
	// minWorkTimeChange is the factor by which the work time must have changed, and
	// minCountChange and minCountFactor by how much the requests, for a reading to be sent
	// earlier. 15% of the servers change by a factor of 2.5 every 0.6 s.
	minWorkTimeChange = 1.3
	minCountChange    = 6
	minCountFactor    = 0.3
	// maxDigest bounds the readings of one digest.
	maxDigest = 64
)

// Thinner chooses the readings that are sent to one other failure domain, where bytes cost
// money: those that differ from what was sent before.
type Thinner struct {
	sent map[turmericshed.ServerID]turmericshed.LoadReport
}

// Thin returns the readings to send now and records them as sent. If there are more than
// maxDigest, those that changed most go first.
func (t *Thinner) Thin(now time.Time, readings []turmericshed.LoadReport) []turmericshed.LoadReport {
	type candidate struct {
		turmericshed.LoadReport
		change float64
	}
	var list []candidate
	for _, r := range readings {
		if now.Sub(r.At) >= digestLife {
			continue
		}
		if c := t.change(r); c >= 1 {
			list = append(list, candidate{r, c})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.change, a.change), cmp.Compare(a.Server, b.Server))
	})
	list = list[:min(len(list), maxDigest)]
	out := make([]turmericshed.LoadReport, 0, len(list))
	for _, c := range list {
		t.record(now, c.LoadReport)
		out = append(out, c.LoadReport)
	}
	return out
}

// Received records readings that the other failure domain sent: it need not get them back.
func (t *Thinner) Received(now time.Time, readings []turmericshed.LoadReport) {
	for _, r := range readings {
		if old, ok := t.sent[r.Server]; !ok || r.At.After(old.At) {
			t.record(now, r)
		}
	}
}

// record stores a reading as known to the other failure domain.
func (t *Thinner) record(now time.Time, r turmericshed.LoadReport) {
	if t.sent == nil {
		t.sent = make(map[turmericshed.ServerID]turmericshed.LoadReport)
	}
	if len(t.sent) >= maxServers {
		for id, old := range t.sent {
			if now.Sub(old.At) >= digestRefresh {
				delete(t.sent, id)
			}
		}
	}
	if len(t.sent) < maxServers {
		t.sent[r.Server] = r
	}
}

// change returns how much a reading differs from the one that was sent before. From 1 on it
// is worth sending.
func (t *Thinner) change(r turmericshed.LoadReport) float64 {
	old, ok := t.sent[r.Server]
	if !ok {
		return math.Inf(1)
	}
	if r.At.Sub(old.At) <= sameReading {
		return 0
	}
	before, after := float64(old.Running+old.Queued), float64(r.Running+r.Queued)
	change := math.Abs(after-before) / max(minCountChange, minCountFactor*max(before, after))
	if r.WorkTime > 0 && old.WorkTime > 0 {
		change = max(change, math.Abs(math.Log(r.WorkTime/old.WorkTime))/math.Log(minWorkTimeChange))
	}
	return max(change, float64(r.At.Sub(old.At))/float64(digestRefresh))
}
