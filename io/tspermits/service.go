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
	// notHolderRetryDelay is the retry delay sent to an entry VM that requests permits
	// of a limit of which this one hands out no part.
	notHolderRetryDelay = 2 * time.Second
	// notifyTimeout is the timeout of a call that only sends limits.
	notifyTimeout = time.Second
	// notifyInterval is the time after which limits are sent again.
	notifyInterval = 2 * time.Second
	// notifiersPerDomain is the number of entry VMs in each failure domain that send limits
	// to other domains, and the number of entry VMs tried in each receiving domain.
	notifiersPerDomain = 2
)

// Handler returns the path and handler of the calls from other entry VMs.
func (p *Permits) Handler() (string, http.Handler) {
	return tspeerapi.NewLimitServiceHandler(service{p})
}

// service answers the calls from other entry VMs.
type service struct{ p *Permits }

// Draw hands out permits and merges the limits that the caller sends.
func (s service) Draw(_ context.Context, r *connect.Request[tspeerapi.DrawLimitRequest]) (*connect.Response[tspeerapi.DrawLimitResponse], error) {
	s.p.MergeLimits(r.Peer().Addr, time.Now().Add(-tslimit.MaxTransit), r.Msg.Limits)
	id := turmericshed.ServerID(r.Msg.Server)
	m := &tspeerapi.DrawLimitResponse{}
	if r.Msg.Want > 0 {
		holders := s.p.holders(id)
		s.p.mu.Lock()
		granted, wait := s.p.handOut(time.Now(), id, holders, int(r.Msg.Want))
		s.p.mu.Unlock()
		m.Granted, m.WaitMs = int32(granted), max(wait.Milliseconds(), 1)
	}
	m.Limits = s.p.ExportLimits()
	return connect.NewResponse(m), nil
}

// ExportLimits returns the current limits, including recently ended ones, for other entry VMs.
func (p *Permits) ExportLimits() []*tspeerapi.ServerLimit {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	return encodeNotices(now, p.book.Notices(now))
}

// MergeLimits merges limits from the entry VM named from. since is a time at or before the moment
// when the sender encoded them; the ages of the requests are relative to it.
func (p *Permits) MergeLimits(from string, since time.Time, limits []*tspeerapi.ServerLimit) {
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, l := range limits {
		n := turmericshed.LimitNotice{
			Server: turmericshed.ServerID(l.Server), PerSecond: l.PerSecond,
			RequestSentAt:    since.Add(-time.Duration(l.AskedAgoUs) * time.Microsecond),
			AnswerReceivedAt: now.Add(-time.Duration(l.HeardAgoUs) * time.Microsecond),
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
			AskedAgoUs: now.Sub(n.RequestSentAt).Microseconds() + 1, HeardAgoUs: now.Sub(n.AnswerReceivedAt).Microseconds(),
		}
		if !n.Started.IsZero() {
			l.StartedMs = n.Started.UnixMilli()
		}
		limits = append(limits, l)
	}
	return limits
}

// notifyDomains sends the limits to the other failure domains if this entry VM is one of
// the notifiers of its own. Inside a failure domain, io/tsfeed exchanges the limits.
func (p *Permits) notifyDomains(ctx context.Context) {
	self := p.cfg.Members.Self()
	vms := append(p.cfg.Members.Reachable(), self)
	isNotifier := false
	for _, vm := range topRanked(vms, self.FailureDomain) {
		isNotifier = isNotifier || vm.Name == self.Name
	}
	if !isNotifier {
		return
	}
	limits := p.ExportLimits()
	if len(limits) == 0 {
		return
	}
	isNotified := map[turmericshed.FailureDomain]bool{self.FailureDomain: true}
	for _, vm := range vms {
		if domain := vm.FailureDomain; !isNotified[domain] {
			isNotified[domain] = true
			go p.notifyAny(ctx, topRanked(vms, domain), limits)
		}
	}
}

// topRanked returns the first notifiersPerDomain entry VMs in the ranking for a failure
// domain, which is the same on all entry VMs.
func topRanked(vms []turmericshed.EntryVM, domain turmericshed.FailureDomain) []turmericshed.EntryVM {
	ranked := tspreference.Rank(vms, domain)
	return ranked[:min(notifiersPerDomain, len(ranked))]
}

// notifyAny sends limits to the entry VMs one after another until one accepts them.
func (p *Permits) notifyAny(ctx context.Context, vms []turmericshed.EntryVM, limits []*tspeerapi.ServerLimit) {
	for _, vm := range vms {
		_, err := p.call(ctx, vm, &tspeerapi.DrawLimitRequest{Limits: limits}, notifyTimeout)
		if err == nil || ctx.Err() != nil {
			return
		}
		p.cfg.Log.Info("entry VM did not accept limits; trying the next one", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "error", err.Error())
	}
}
