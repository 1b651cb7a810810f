package tsexperiment

import (
	"errors"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tsadmit"
	"turmericshed/core/tsroute"
)

// errRoutingLeaving is wrapped by the refusal of a leaving engine.
var errRoutingLeaving = errors.New("leaving")

// routingPolicy is one combination of routing and admission.
type routingPolicy struct {
	name      string
	newRouter func(self turmericshed.FailureDomain, r *rand.Rand) routingChooser
	admit     tsadmit.Config
	// hasOverloadControl enables overload control.
	hasOverloadControl bool
	// ignoresRetryBudget disables the retry budget.
	ignoresRetryBudget bool
}

// routingMaxRunning is the ceiling of requests running at one entry VM.
const routingMaxRunning = 64

// routingPolicies returns the product's policy first, then the baselines. Each router baseline
// replaces the router; naive_admission replaces admission and ignores the retry budget. No baseline
// has overload control.
func routingPolicies() []routingPolicy {
	fair := tsadmit.Config{MaxRunning: routingMaxRunning}
	ours := func(self turmericshed.FailureDomain, r *rand.Rand) routingChooser {
		return tsroute.New(tsroute.Config{FailureDomain: self, Rand: r})
	}
	baseline := func(choose func(*routingBaseline, []*routingCandidate, turmericshed.RouteRequest) *routingCandidate) func(turmericshed.FailureDomain, *rand.Rand) routingChooser {
		return func(_ turmericshed.FailureDomain, r *rand.Rand) routingChooser {
			return &routingBaseline{choose: choose, rand: r, cursor: r.IntN(1000)}
		}
	}
	return []routingPolicy{
		{name: "turmericshed", newRouter: ours, admit: fair, hasOverloadControl: true},
		{name: "round_robin", newRouter: baseline(chooseRoundRobin), admit: fair},
		{name: "least_reported", newRouter: baseline(chooseLeastReported), admit: fair},
		{name: "prefix_hash", newRouter: baseline(choosePrefixHash), admit: fair},
		{
			name: "naive_admission", newRouter: ours, ignoresRetryBudget: true,
			admit: tsadmit.Config{MaxRunning: routingMaxRunning, MaxQueued: 1 << 20, FirstInFirstOut: true, NoEarlyRefusal: true},
		},
	}
}

// InService returns true: a baseline tracks no server health.
func (*routingBaseline) InService(time.Time, turmericshed.ServerID) bool { return true }

// routingCandidate is one server with what a baseline records about it.
type routingCandidate struct {
	turmericshed.BackendServer
	hash             uint64
	reportedRequests int
}

// routingBaseline is a router that stores only the last server list and the last load reports.
type routingBaseline struct {
	choose  func(*routingBaseline, []*routingCandidate, turmericshed.RouteRequest) *routingCandidate
	rand    *rand.Rand
	cursor  int
	servers []*routingCandidate
}

// SetServers replaces the server list.
func (b *routingBaseline) SetServers(_ time.Time, list []turmericshed.BackendServer) {
	b.servers = nil
	for _, s := range list {
		b.servers = append(b.servers, &routingCandidate{BackendServer: s, hash: xxhash.Sum64String(string(s.ID))})
	}
}

// Report stores the number of requests in the last report.
func (b *routingBaseline) Report(_ time.Time, rep turmericshed.LoadReport) {
	for _, s := range b.servers {
		if s.ID == rep.Server {
			s.reportedRequests = rep.Running + rep.Queued
		}
	}
}

// SetLeaving does nothing: baselines follow the server list only.
func (b *routingBaseline) SetLeaving(time.Time, turmericshed.ServerID) {}

// Pause does nothing: baselines ignore requests of servers to pause.
func (b *routingBaseline) Pause(time.Time, turmericshed.ServerID, time.Duration) {}

// Pick selects among the listed servers that are not leaving or excluded.
func (b *routingBaseline) Pick(_ time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	var cs []*routingCandidate
	for _, s := range b.servers {
		if !s.Leaving && !slices.Contains(r.Excluded, s.ID) {
			cs = append(cs, s)
		}
	}
	if len(cs) == 0 {
		return turmericshed.BackendServer{}, turmericshed.NewError(turmericshed.KindNoBackend, "no server is left to pick from")
	}
	return b.choose(b, cs, r).BackendServer, nil
}

// Done does nothing.
func (b *routingBaseline) Done(time.Time, turmericshed.ServerID, turmericshed.RouteRequest, turmericshed.DispatchResult) {
}

func chooseRoundRobin(b *routingBaseline, cs []*routingCandidate, _ turmericshed.RouteRequest) *routingCandidate {
	b.cursor++
	return cs[b.cursor%len(cs)]
}

func chooseLeastReported(b *routingBaseline, cs []*routingCandidate, _ turmericshed.RouteRequest) *routingCandidate {
	start := b.rand.IntN(len(cs))
	best := cs[start]
	for i := range cs {
		if c := cs[(start+i)%len(cs)]; c.reportedRequests < best.reportedRequests {
			best = c
		}
	}
	return best
}

func choosePrefixHash(b *routingBaseline, cs []*routingCandidate, r turmericshed.RouteRequest) *routingCandidate {
	if r.Prefix == 0 {
		return cs[b.rand.IntN(len(cs))]
	}
	best := cs[0]
	for _, c := range cs[1:] {
		if prefixScore(c, r.Prefix) > prefixScore(best, r.Prefix) {
			best = c
		}
	}
	return best
}

func prefixScore(c *routingCandidate, prefix uint64) uint64 {
	x := c.hash ^ prefix
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	return x ^ x>>27
}
