package tspermits

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tslimit"
	"turmericshed/io/tspeerapi"
)

const (
	// drawWait is how long a request waits for what a holder says.
	drawWait = 150 * time.Millisecond
	// drawTimeout bounds a call to a holder, whose permits serve later requests
	// when it took longer; crowdedDrawTimeout bounds it while the answer has to
	// pass a crowded link.
	drawTimeout        = time.Second
	congestedDrawTimeout = 3 * time.Second
)

// serverDraws is this entry VM's draws on the limit of one server. It is guarded by the
// mutex of Permits.
type serverDraws struct {
	tslimit.Draws
	// callDone is closed when the call to a holder ends that began at began; nil
	// while there is none.
	callDone chan struct{}
	callBegan time.Time
}

// Closed returns the servers that nothing may be sent to, and until when.
func (p *Permits) Closed(now time.Time) map[turmericshed.ServerID]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var closed map[turmericshed.ServerID]time.Time
	for id, d := range p.draws {
		waits := d.callDone != nil && now.Sub(d.callBegan) > drawWait && !d.Holds(now) && !d.Alone(p.holders(id))
		if _, limited := p.book.Rate(id); !limited || (!waits && !now.Before(d.Closed())) {
			continue
		}
		if closed == nil {
			closed = make(map[turmericshed.ServerID]time.Time)
		}
		closed[id] = d.Closed()
		if waits {
			closed[id] = now.Add(drawWait)
		}
	}
	return closed
}

// Acquire reports whether one request may be sent to the server now. Where a
// holder takes its time, the request goes elsewhere and a later one uses the
// permit.
func (p *Permits) Acquire(ctx context.Context, s turmericshed.BackendServer) bool {
	from := rand.IntN(1 << 10)
	for {
		ended, ok := p.acquire(s.ID, from)
		if ended == nil {
			return ok
		}
		if !awaitCall(ctx, ended) {
			return false
		}
	}
}

// Return gives back a permit that was not used.
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

// awaitCall waits for the end of a call; it reports whether it came in time.
func awaitCall(ctx context.Context, ended <-chan struct{}) bool {
	t := time.NewTimer(drawWait)
	defer t.Stop()
	select {
	case <-ended:
		return true
	case <-t.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// acquire uses a permit, or begins to draw one, in which case it returns what
// is closed at the call's end.
func (p *Permits) acquire(id turmericshed.ServerID, from int) (ended <-chan struct{}, ok bool) {
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
		h, found := d.Next(now, self, holders, from)
		if found && h.Name == self {
			granted, wait := p.handOut(now, id, holders, d.Want(now))
			p.recordDraw(d, h.Name, granted, wait)
			continue
		}
		if found && d.callDone == nil {
			d.callDone, d.callBegan = make(chan struct{}), now
			go p.drawFrom(d, id, h, d.Want(now))
		}
		switch {
		case d.Alone(holders):
			ok := d.TakeAlone(now, rate, p.cfg.Count(), rand.Float64())
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

// countSent counts a request that goes to a limited server, and returns ok.
func (p *Permits) countSent(ok bool) bool {
	if ok {
		p.counters.sent.Inc()
	}
	return ok
}

// recordDraw takes what a holder said. p.mu is held.
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

// drawFrom draws from a holder and tells those who wait for it.
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
	p.cfg.Log.Info("entry VM hands out no permits", "server", string(id), "entry_vm", h.Name, "addr", h.PeerAddr.String(), "error", err.Error())
}

// holders returns the entry VMs that hand out a server's limit; none while the
// entry VMs are not known.
func (p *Permits) holders(id turmericshed.ServerID) []turmericshed.EntryVM {
	vms := append(p.cfg.Members.Reachable(), p.cfg.Members.Self())
	if p.cfg.Count() > len(vms) {
		return nil
	}
	return tslimit.Holders(vms, id)
}

// requestPermits asks a holder for permits, and tells it of the limit.
func (p *Permits) requestPermits(id turmericshed.ServerID, h turmericshed.EntryVM, want int) (granted int, wait time.Duration, err error) {
	p.mu.Lock()
	n, known := p.book.Notice(id)
	p.mu.Unlock()
	r := &tspeerapi.DrawLimitRequest{Server: string(id), Want: int32(want)}
	if known {
		r.Limits = encodeNotices(time.Now(), []turmericshed.LimitNotice{n})
	}
	timeout := turmericshed.Patience(p.cfg.Link, drawTimeout, congestedDrawTimeout)
	m, err := p.call(context.Background(), h, r, timeout)
	if err != nil {
		return 0, 0, err
	}
	return int(m.Granted), time.Duration(m.WaitMs) * time.Millisecond, nil
}

// call makes a call to another entry VM and takes what it knows.
func (p *Permits) call(ctx context.Context, vm turmericshed.EntryVM, r *tspeerapi.DrawLimitRequest, timeout time.Duration) (*tspeerapi.DrawLimitResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	began := time.Now()
	hc, base := p.cfg.Peers.Client(vm.PeerAddr)
	resp, err := tspeerapi.NewLimitServiceClient(hc, base).Draw(ctx, connect.NewRequest(r))
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindNoBackend, err, "entry VM %s", vm.Name)
	}
	p.Hear(vm.Name, began, resp.Msg.Limits)
	return resp.Msg, nil
}

// handOut gives permits of the part that this entry VM hands out. While it does
// not count itself among the holders it has none. A limit that has ended, also
// for who asks, holds nothing back. p.mu is held.
func (p *Permits) handOut(now time.Time, id turmericshed.ServerID, holders []turmericshed.EntryVM, want int) (granted int, wait time.Duration) {
	self := p.cfg.Members.Self().Name
	holds := slices.ContainsFunc(holders, func(h turmericshed.EntryVM) bool { return h.Name == self })
	rate, limited := p.book.Rate(id)
	switch {
	case !limited && p.book.Knows(id):
		return want, 0
	case !holds || !limited:
		return 0, notHolderRetryDelay
	}
	s := p.shares[id]
	if s == nil {
		s = tslimit.NewShare(now, rand.Float64())
		p.shares[id] = s
	}
	return s.Take(now, tslimit.Part(rate, len(holders)), want)
}
