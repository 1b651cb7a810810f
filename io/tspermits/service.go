package tspermits

import (
	"context"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tslimit"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspeerapi"
)

const (
	// notHolderRetryDelay is when to ask again an entry VM that has no part of a limit.
	notHolderRetryDelay = 2 * time.Second
	// notifyTimeout bounds a call that only tells of limits.
	notifyTimeout = time.Second
	// notifyInterval is the time after which limits are told again.
	notifyInterval = 2 * time.Second
	// notifiersPerDomain is how many entry VMs of a failure domain tell others of limits,
	// and how many of another one are tried.
	notifiersPerDomain = 2
)

// Handler returns the path and handler of the peers' calls.
func (p *Permits) Handler() (string, http.Handler) {
	return tspeerapi.NewLimitServiceHandler(service{p})
}

// service answers the peers' calls.
type service struct{ p *Permits }

// Draw hands out permits, and takes what the caller knows of limits.
func (s service) Draw(_ context.Context, r *connect.Request[tspeerapi.DrawLimitRequest]) (*connect.Response[tspeerapi.DrawLimitResponse], error) {
	s.p.Hear(r.Peer().Addr, time.Now().Add(-tslimit.Transit), r.Msg.Limits)
	id := turmericshed.ServerID(r.Msg.Server)
	m := &tspeerapi.DrawLimitResponse{}
	if r.Msg.Want > 0 {
		holders := s.p.holders(id)
		s.p.mu.Lock()
		granted, wait := s.p.handOut(time.Now(), id, holders, int(r.Msg.Want))
		s.p.mu.Unlock()
		m.Granted, m.WaitMs = int32(granted), max(wait.Milliseconds(), 1)
	}
	m.Limits = s.p.Tell()
	return connect.NewResponse(m), nil
}

// Tell returns what other entry VMs should know.
func (p *Permits) Tell() []*tspeerapi.ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return encodeNotices(now, p.book.Notices(now))
}

// Hear takes what another entry VM told since then.
func (p *Permits) Hear(from string, since time.Time, limits []*tspeerapi.ServerLimit) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range limits {
		n := turmericshed.LimitNotice{
			Server: turmericshed.ServerID(l.Server), PerSecond: l.PerSecond,
			Asked: since.Add(-time.Duration(l.AskedAgoUs) * time.Microsecond),
			Heard: now.Add(-time.Duration(l.HeardAgoUs) * time.Microsecond),
		}
		if l.StartedMs != 0 {
			n.Started = time.UnixMilli(l.StartedMs)
		}
		if n.PerSecond >= 0 {
			p.recordNotice(n, from)
		}
	}
}

func encodeNotices(now time.Time, notices []turmericshed.LimitNotice) []*tspeerapi.ServerLimit {
	limits := make([]*tspeerapi.ServerLimit, 0, len(notices))
	for _, n := range notices {
		l := &tspeerapi.ServerLimit{
			Server: string(n.Server), PerSecond: n.PerSecond,
			AskedAgoUs: now.Sub(n.Asked).Microseconds() + 1, HeardAgoUs: now.Sub(n.Heard).Microseconds(),
		}
		if !n.Started.IsZero() {
			l.StartedMs = n.Started.UnixMilli()
		}
		limits = append(limits, l)
	}
	return limits
}

// notifyDomains tells the other failure domains of limits, where this entry VM is
// one of those that do so for their own. Inside a domain limits go along with
// the news.
func (p *Permits) notifyDomains(ctx context.Context) {
	self := p.cfg.Members.Self()
	vms := append(p.cfg.Members.Reachable(), self)
	teller := false
	for _, vm := range topRanked(vms, self.FailureDomain) {
		teller = teller || vm.Name == self.Name
	}
	if !teller {
		return
	}
	limits := p.Tell()
	if len(limits) == 0 {
		return
	}
	told := map[turmericshed.FailureDomain]bool{self.FailureDomain: true}
	for _, vm := range vms {
		if domain := vm.FailureDomain; !told[domain] {
			told[domain] = true
			go p.notifyAny(ctx, topRanked(vms, domain), limits)
		}
	}
}

func topRanked(vms []turmericshed.EntryVM, domain turmericshed.FailureDomain) []turmericshed.EntryVM {
	ranked := tspreference.Rank(vms, domain)
	return ranked[:min(notifiersPerDomain, len(ranked))]
}

// notifyAny tells the first of the entry VMs that answers.
func (p *Permits) notifyAny(ctx context.Context, vms []turmericshed.EntryVM, limits []*tspeerapi.ServerLimit) {
	for _, vm := range vms {
		_, err := p.call(ctx, vm, &tspeerapi.DrawLimitRequest{Limits: limits}, notifyTimeout)
		if err == nil || ctx.Err() != nil {
			return
		}
		p.cfg.Log.Info("entry VM not told of limits", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "error", err.Error())
	}
}
