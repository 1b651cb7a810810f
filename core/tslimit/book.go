// Package tslimit lets the entry VMs jointly enforce the rate limits that
// backend servers announce in their answers. It does no I/O: the caller provides
// time and randomness and serializes access.
//
// # Usage
//
//	var b tslimit.Book
//	b.SetServers(now, servers)
//	changed := b.ApplyNotice(notice)
//	rate, limited := b.Rate(id)
//	send(b.Notices(now))
package tslimit

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// MaxTransit is the assumed maximum transit time of a call between entry VMs.
	// If a call takes longer, a limit may be considered ended until the next
	// answer that announces it.
	MaxTransit = 300 * time.Millisecond
	// endedNoticeLife is how long the end of a limit is sent to other entry
	// VMs.
	endedNoticeLife = 10 * time.Second
	// unlistedLife is how long the limit of an unlisted server is retained.
	unlistedLife = time.Minute
	// maxNotices bounds the limits that are sent at once.
	maxNotices = 32
)

// Book holds one entry VM's view of the servers' limits. The zero value has no
// servers.
//
// Answers may arrive out of order, on several connections to one server and
// through other entry VMs. A notice is certainly newer than another one only if
// its request was sent after the other's answer arrived. If the order of two
// notices is unknown, the lower limit applies.
type Book struct {
	startTimes map[turmericshed.ServerID]time.Time
	notices    map[turmericshed.ServerID]turmericshed.LimitNotice
}

// SetServers replaces the listed servers. Limits of earlier processes of the
// same servers are removed at once. Limits of unlisted servers are removed
// after a delay, because entries also expire while the store is unavailable.
func (b *Book) SetServers(now time.Time, list []turmericshed.BackendServer) {
	b.startTimes = make(map[turmericshed.ServerID]time.Time, len(list))
	for _, s := range list {
		b.startTimes[s.ID] = s.Started
	}
	for id, n := range b.notices {
		at, listed := b.startTimes[id]
		if (listed && !at.Equal(n.Started)) || (!listed && now.Sub(n.AnswerReceivedAt) > unlistedLife) {
			delete(b.notices, id)
		}
	}
}

// ApplyNotice applies a notice and reports whether it changes the limit.
func (b *Book) ApplyNotice(n turmericshed.LimitNotice) (changed bool) {
	if at, ok := b.startTimes[n.Server]; !ok || !at.Equal(n.Started) {
		return false
	}
	cur, ok := b.notices[n.Server]
	switch {
	case !ok && n.PerSecond == 0, ok && n.AnswerReceivedAt.Before(cur.RequestSentAt):
		return false
	case ok && n.PerSecond == cur.PerSecond:
		n.RequestSentAt, n.AnswerReceivedAt = later(n.RequestSentAt, cur.RequestSentAt), later(n.AnswerReceivedAt, cur.AnswerReceivedAt)
	case !ok || n.RequestSentAt.After(cur.AnswerReceivedAt):
		changed = true
	case isStricter(n.PerSecond, cur.PerSecond):
		n.AnswerReceivedAt = later(n.AnswerReceivedAt, cur.AnswerReceivedAt)
		changed = true
	default:
		return false
	}
	if b.notices == nil {
		b.notices = make(map[turmericshed.ServerID]turmericshed.LimitNotice)
	}
	b.notices[n.Server] = n
	return changed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isStricter reports whether limit a is lower than b; 0 is no limit.
func isStricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// Rate returns a server's limit in requests per second.
func (b *Book) Rate(id turmericshed.ServerID) (perSecond float64, limited bool) {
	n := b.notices[id]
	return n.PerSecond, n.PerSecond > 0
}

// HasNotice reports whether there is a notice for the server, including one of the
// end of a limit.
func (b *Book) HasNotice(id turmericshed.ServerID) bool {
	_, ok := b.notices[id]
	return ok
}

// Limited returns the number of servers with a limit.
func (b *Book) Limited() int {
	n := 0
	for _, k := range b.notices {
		if k.PerSecond > 0 {
			n++
		}
	}
	return n
}

// Notice returns the current notice for one server.
func (b *Book) Notice(id turmericshed.ServerID) (turmericshed.LimitNotice, bool) {
	n, ok := b.notices[id]
	return n, ok
}

// Notices returns the notices for other entry VMs, newest first, and removes
// those of limits that ended more than endedNoticeLife ago.
func (b *Book) Notices(now time.Time) []turmericshed.LimitNotice {
	var list []turmericshed.LimitNotice
	for id, n := range b.notices {
		if n.PerSecond == 0 && now.Sub(n.AnswerReceivedAt) > endedNoticeLife {
			delete(b.notices, id)
			continue
		}
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b turmericshed.LimitNotice) int {
		return cmp.Or(b.AnswerReceivedAt.Compare(a.AnswerReceivedAt), cmp.Compare(a.Server, b.Server))
	})
	return list[:min(len(list), maxNotices)]
}
