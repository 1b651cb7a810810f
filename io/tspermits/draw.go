package tspermits

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tslimit"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const (
	// drawWait is how long a request waits for a holder's answer.
	drawWait = 150 * time.Millisecond
	// drawTimeout is the timeout of a call to a holder. Permits that arrive after
	// drawWait are used by later requests.
	drawTimeout = time.Second
	// congestedDrawTimeout replaces drawTimeout while the local network link is congested.
	congestedDrawTimeout = 3 * time.Second
)

// serverDraws holds the permits that this entry VM has drawn on the limit of one server,
// and the running call to a holder. It is guarded by Permits.mu.
type serverDraws struct {
	tslimit.Draws
	// callDone is closed when the running call to a holder returns; nil while no call
	// is running.
	callDone chan struct{}
	// callBegan is when the last call to a holder began.
	callBegan time.Time
}

// Closed returns the servers to which no request may be sent now, each with the time until
// which it is closed. A server is also closed while no permit is available and a call to a
// holder takes longer than drawWait.
func (p *Permits) Closed(now time.Time) map[turmericshed.ServerID]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var closed map[turmericshed.ServerID]time.Time
	for id, d := range p.draws {
		isWaiting := d.callDone != nil && now.Sub(d.callBegan) > drawWait && !d.HasPermit(now) && !d.IsIsolated(p.holders(id))
		if _, limited := p.book.Rate(id); !limited || (!isWaiting && !now.Before(d.ClosedUntil())) {
			continue
		}
		if closed == nil {
			closed = make(map[turmericshed.ServerID]time.Time)
		}
		closed[id] = d.ClosedUntil()
		if isWaiting {
			closed[id] = now.Add(drawWait)
		}
	}
	return closed
}

// Acquire reports whether one request may be sent to the server now. It waits for a
// holder's answer for at most drawWait per call. If the answer takes longer, Acquire
// returns false and a later request uses the permit.
func (p *Permits) Acquire(ctx context.Context, s turmericshed.BackendServer) bool {
	startIndex := rand.IntN(1 << 10)
	for {
		callDone, ok := p.acquire(s.ID, startIndex)
		if callDone == nil {
			return ok
		}
		if !awaitCall(ctx, callDone) {
			return false
		}
	}
}

// Return returns an unused permit, so that a later request can use it.
func (p *Permits) Return(s turmericshed.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := p.draws[s.ID]
	if _, limited := p.book.Rate(s.ID); !limited || d == nil {
		return
	}
	d.Return(time.Now())
	p.counters.returned.Inc()
}

// awaitCall waits until callDone is closed, for at most drawWait or until ctx ends. It
// reports whether callDone was closed in time.
func awaitCall(ctx context.Context, callDone <-chan struct{}) bool {
	t := time.NewTimer(drawWait)
	defer t.Stop()
	select {
	case <-callDone:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// acquire uses an available permit and reports whether a request may be sent. If a call
// to a holder is running and may still return in time, it returns that call's channel
// instead; the caller waits and tries again. The search for a holder begins at startIndex.
func (p *Permits) acquire(id turmericshed.ServerID, startIndex int) (callDone <-chan struct{}, ok bool) {
	holders := p.holders(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	for {
		now := time.Now()
		rate, limited := p.book.Rate(id)
		if !limited {
			return nil, true
		}
		d := p.draws[id]
		if d == nil {
			d = &serverDraws{}
			p.draws[id] = d
		}
		taken, open := d.Take(now)
		if !open {
			return nil, p.countSent(taken)
		}
		self := p.cfg.Members.Self().Name
		h, found := d.NextHolder(now, self, holders, startIndex)
		if found && h.Name == self {
			granted, wait := p.handOut(now, id, holders, d.DrawSize(now))
			p.recordDraw(d, h.Name, granted, wait)
			continue
		}
		if found && d.callDone == nil {
			d.callDone, d.callBegan = make(chan struct{}), now
			go p.drawFrom(d, id, h, d.DrawSize(now))
		}
		switch {
		case d.IsIsolated(holders):
			ok := d.TakeIsolated(now, rate, p.cfg.Count(), rand.Float64())
			if ok {
				p.counters.draws.WithLabelValues(drawIsolated).Inc()
			}
			return nil, p.countSent(ok)
		case d.callDone != nil && now.Sub(d.callBegan) <= drawWait:
			return d.callDone, false
		case d.callDone != nil:
			return nil, false
		default:
			d.Close(now, holders)
			return nil, false
		}
	}
}

// countSent counts a request to a limited server if ok is true, and returns ok.
func (p *Permits) countSent(ok bool) bool {
	if ok {
		p.counters.sent.Inc()
	}
	return ok
}

// recordDraw records a holder's answer to a draw. p.mu is held.
func (p *Permits) recordDraw(d *serverDraws, holder string, granted int, wait time.Duration) {
	now := time.Now()
	if granted > 0 {
		d.Granted(now, holder, granted)
		p.counters.draws.WithLabelValues(drawGranted).Inc()
		return
	}
	d.Refused(now, holder, wait)
	p.counters.draws.WithLabelValues(drawRefused).Inc()
}

// drawFrom draws permits from a holder, records the result and wakes the requests that
// wait for it.
func (p *Permits) drawFrom(d *serverDraws, id turmericshed.ServerID, h turmericshed.EntryVM, want int) {
	granted, wait, err := p.requestPermits(id, h, want)
	p.mu.Lock()
	defer p.mu.Unlock()
	close(d.callDone)
	d.callDone = nil
	if err == nil {
		p.recordDraw(d, h.Name, granted, wait)
		return
	}
	d.Failed(time.Now(), h.Name)
	p.counters.draws.WithLabelValues(drawFailed).Inc()
	p.cfg.Log.Info("holder did not answer a draw of permits", "server", string(id), "entry_vm", h.Name, "addr", h.PeerAddr.String(), "error", err.Error())
}

// holders returns the entry VMs that hand out a server's limit; none while fewer entry
// VMs are in view than Config.Count expects.
func (p *Permits) holders(id turmericshed.ServerID) []turmericshed.EntryVM {
	vms := append(p.cfg.Members.Reachable(), p.cfg.Members.Self())
	if p.cfg.Count() > len(vms) {
		return nil
	}
	return tslimit.Holders(vms, id)
}

// requestPermits requests permits from a holder and sends it the limit. wait is the time
// until the next request if none was granted. Errors: KindNoBackend.
func (p *Permits) requestPermits(id turmericshed.ServerID, h turmericshed.EntryVM, want int) (granted int, wait time.Duration, err error) {
	p.mu.Lock()
	n, found := p.book.Notice(id)
	p.mu.Unlock()
	r := &tspeerapi.DrawLimitRequest{Server: string(id), Want: int32(want)}
	if found {
		r.Limits = encodeNotices(time.Now(), []turmericshed.LimitNotice{n})
	}
	timeout := turmericshed.LinkTimeout(p.cfg.Link, drawTimeout, congestedDrawTimeout)
	m, err := p.call(context.Background(), h, r, timeout)
	if err != nil {
		return 0, 0, err
	}
	return int(m.Granted), time.Duration(m.WaitMs) * time.Millisecond, nil
}

// call sends a draw request to another entry VM and merges the limits in its answer.
// Errors: KindNoBackend.
func (p *Permits) call(ctx context.Context, vm turmericshed.EntryVM, r *tspeerapi.DrawLimitRequest, timeout time.Duration) (*tspeerapi.DrawLimitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	hc, base := p.cfg.Peers.Client(vm.PeerAddr)
	resp, err := tspeerapi.NewLimitServiceClient(hc, base, tspeer.BoundAnswers()).Draw(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindNoBackend, err, "entry VM %s", vm.Name)
	}
	p.MergeLimits(vm.Name, began, resp.Msg.Limits)
	return resp.Msg, nil
}

// handOut grants permits from the part of the limit that this entry VM hands out. It
// grants none while this entry VM is not among the holders. If the limit has ended, it
// grants all requested permits; the requester's notice has been merged before, so the
// limit has ended in both views. wait is the time until the next request if no permit is
// granted. p.mu is held.
func (p *Permits) handOut(now time.Time, id turmericshed.ServerID, holders []turmericshed.EntryVM, want int) (granted int, wait time.Duration) {
	self := p.cfg.Members.Self().Name
	isHolder := slices.ContainsFunc(holders, func(h turmericshed.EntryVM) bool { return h.Name == self })
	rate, limited := p.book.Rate(id)
	switch {
	case !limited && p.book.HasNotice(id):
		return want, 0
	case !isHolder || !limited:
		return 0, notHolderRetryDelay
	}
	s := p.shares[id]
	if s == nil {
		s = tslimit.NewShare(now, rand.Float64())
		p.shares[id] = s
	}
	return s.Take(now, tslimit.PartRate(rate, len(holders)), want)
}
