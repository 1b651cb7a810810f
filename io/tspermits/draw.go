package tspermits

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tslimit"
	"turmericshed/io/tspeerapi"
)

const (
	// drawTimeout bounds a call to a holder, while which a request waits;
	// crowdedDrawTimeout bounds it while the answer has to pass a crowded link.
	drawTimeout        = 150 * time.Millisecond
	crowdedDrawTimeout = 500 * time.Millisecond
)

// draw is this entry VM's draws on the limit of one server.
type draw struct {
	// calling is held while a holder is asked: others wait for what it says.
	calling sync.Mutex

	// The embedded draws are guarded by the mutex of Permits.
	tslimit.Draws
}

// Closed returns the servers that nothing may be sent to, and until when.
func (p *Permits) Closed(now time.Time) map[turmericshed.ServerID]time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	var closed map[turmericshed.ServerID]time.Time
	for id, d := range p.draws {
		if _, limited := p.book.Rate(id); !limited || !now.Before(d.Closed()) {
			continue
		}
		if closed == nil {
			closed = make(map[turmericshed.ServerID]time.Time)
		}
		closed[id] = d.Closed()
	}
	return closed
}

// Acquire reports whether one request may be sent to the server now. A holder
// that does not answer costs this request the server, and the next one asks
// another holder.
func (p *Permits) Acquire(s turmericshed.BackendServer) bool {
	d, ok := p.take(s.ID)
	if d == nil {
		return ok
	}
	d.calling.Lock()
	defer d.calling.Unlock()
	from := rand.IntN(1 << 10)
	for {
		// What an earlier draw brought may be left.
		if d, ok := p.take(s.ID); d == nil {
			return ok
		}
		h, holders, ok := p.holder(d, s.ID, from)
		if !ok {
			return p.settle(d, s.ID, holders)
		}
		if !p.ask(d, s.ID, h) {
			return false
		}
	}
}

// take uses a permit in hand. A draw is returned where one has to be drawn.
func (p *Permits) take(id turmericshed.ServerID) (d *draw, ok bool) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, limited := p.book.Rate(id); !limited {
		return nil, true
	}
	d = p.draws[id]
	if d == nil {
		d = &draw{}
		p.draws[id] = d
	}
	taken, open := d.Take(now)
	if taken {
		p.counters.sent.Inc()
	}
	if !open {
		return nil, taken
	}
	return d, false
}

// holder returns the holder to ask next, among all of them.
func (p *Permits) holder(d *draw, id turmericshed.ServerID, from int) (next turmericshed.EntryVM, holders []turmericshed.EntryVM, ok bool) {
	holders = p.holders(id)
	p.mu.Lock()
	defer p.mu.Unlock()
	next, ok = d.Next(time.Now(), p.cfg.Members.Self().Name, holders, from)
	return next, holders, ok
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

// settle ends a draw that found no holder to ask.
func (p *Permits) settle(d *draw, id turmericshed.ServerID, holders []turmericshed.EntryVM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	rate, limited := p.book.Rate(id)
	if !limited {
		return true
	}
	if !d.Settle(time.Now(), rate, p.cfg.Count(), holders, rand.Float64()) {
		return false
	}
	p.counters.draws.WithLabelValues(drawnAlone).Inc()
	p.counters.sent.Inc()
	return true
}

// ask draws from one holder and reports whether it answered.
func (p *Permits) ask(d *draw, id turmericshed.ServerID, h turmericshed.EntryVM) bool {
	p.mu.Lock()
	want := d.Want(time.Now())
	p.mu.Unlock()
	granted, wait, err := p.draw(id, h, want)
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case err != nil:
		d.Failed(now, h.Name)
		p.counters.draws.WithLabelValues(drawFailed).Inc()
		p.cfg.Log.Info("entry VM hands out no permits", "server", string(id), "entry_vm", h.Name, "addr", h.PeerAddr.String(), "error", err.Error())
	case granted > 0:
		d.Granted(now, h.Name, granted)
		p.counters.draws.WithLabelValues(drawGranted).Inc()
	default:
		d.Refused(now, h.Name, wait)
		p.counters.draws.WithLabelValues(drawRefused).Inc()
	}
	return err == nil
}

// draw takes permits from a holder, which may be this entry VM.
func (p *Permits) draw(id turmericshed.ServerID, h turmericshed.EntryVM, want int) (granted int, wait time.Duration, err error) {
	if h.Name == p.cfg.Members.Self().Name {
		granted, wait = p.handOut(id, want)
		return granted, wait, nil
	}
	p.mu.Lock()
	n, known := p.book.Notice(id)
	p.mu.Unlock()
	r := &tspeerapi.DrawLimitRequest{Server: string(id), Want: int32(want)}
	if known {
		r.Limits = encodeNotices(time.Now(), []turmericshed.LimitNotice{n})
	}
	timeout := turmericshed.Patience(p.cfg.Link, drawTimeout, crowdedDrawTimeout)
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
// for who asks, holds nothing back.
func (p *Permits) handOut(id turmericshed.ServerID, want int) (granted int, wait time.Duration) {
	holders := p.holders(id)
	holds := false
	for _, h := range holders {
		holds = holds || h.Name == p.cfg.Members.Self().Name
	}
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	rate, limited := p.book.Rate(id)
	switch {
	case !limited && p.book.Knows(id):
		return want, 0
	case !holds || !limited:
		return 0, notHolding
	}
	s := p.shares[id]
	if s == nil {
		s = tslimit.NewShare(now, rand.Float64())
		p.shares[id] = s
	}
	return s.Take(now, tslimit.Part(rate, len(holders)), want)
}
