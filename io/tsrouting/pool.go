package tsrouting

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tsroute"
	"turmericshed/io/tsbackend"
)

// Limits of polling and of waits for permits.
const (
	// pollsPerSecond is the number of load reports that one process polls each
	// second, for up to maxFastPollServers servers.
	pollsPerSecond     = 20
	maxFastPollServers = 40
	// slowPollsPerSecond is the same for more servers. At that rate the reports are
	// too old to choose a server by, but still show overload and servers that are
	// leaving.
	slowPollsPerSecond = 4
	// pollTimeout bounds one poll.
	pollTimeout = 500 * time.Millisecond
	// minPollAge is the age of a server's last report from which the server is
	// polled again.
	minPollAge = 500 * time.Millisecond
	// maxPermitWait bounds how long a request waits for permits, at all servers
	// with a limit together.
	maxPermitWait = 300 * time.Millisecond
	// minLimitRetryAfter is the least retry-after time of a request that is refused
	// because all servers are at their limits.
	minLimitRetryAfter = 200 * time.Millisecond
)

// PoolConfig holds the settings and dependencies of a Pool.
type PoolConfig struct {
	FailureDomain turmericshed.FailureDomain
	// Region is the local region; if empty, all servers count as near.
	Region turmericshed.Region
	Board  *tsboard.Board
	// Homes is the number of servers at which the same prefix may be cached; 0
	// means the router's default.
	Homes int
	// ServeTime makes the router weigh servers by the time to serve a request instead of
	// by requests per slot.
	ServeTime bool
	// OnReport is called with each report of this entry VM's own, to share it with others;
	// may be nil.
	OnReport func(time.Time, turmericshed.LoadReport)
	// LoadReader reads a server's load; nil disables polling.
	LoadReader turmericshed.LoadReader
	Rand       *rand.Rand
	Recorder   turmericshed.Recorder
	// Limits enforces the limits that servers announce; nil enforces none.
	Limits turmericshed.ServerLimits
	// OnAttempt is called with the result of each attempt; may be nil.
	OnAttempt func(turmericshed.RouteRequest, turmericshed.DispatchResult)
	// Spill decides about requests to other failure domains; nil keeps the router's
	// fixed penalty.
	Spill *SpillConfig
	// OnApplied is called with each load report that the router gets, also from other
	// entry VMs; may be nil.
	OnApplied func(now time.Time, r turmericshed.LoadReport)
}

// Pool is a router that is safe for concurrent use and follows the servers and load
// reports on the board.
type Pool struct {
	cfg PoolConfig

	mu     sync.Mutex
	router *tsroute.Router
	spill  *spillMetrics
}

var _ turmericshed.Router = (*Pool)(nil)

// NewPool returns a pool of the servers that are on the board now.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p := &Pool{cfg: cfg, router: tsroute.New(tsroute.Config{
		FailureDomain: cfg.FailureDomain, Region: cfg.Region, Homes: cfg.Homes, Rand: cfg.Rand, Recorder: cfg.Recorder,
		ServeTime: cfg.ServeTime,
	})}
	p.router.SetServers(time.Now(), cfg.Board.Servers.Read())
	p.setUpSpill()
	return p
}

// SetServers replaces the list of servers.
func (p *Pool) SetServers(now time.Time, servers []turmericshed.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.SetServers(now, servers)
}

// Report applies a load report. If the server is leaving, it is also published as
// leaving.
func (p *Pool) Report(now time.Time, r turmericshed.LoadReport) {
	if p.cfg.OnReport != nil {
		p.cfg.OnReport(now, r)
	}
	p.applyReport(now, r)
}

func (p *Pool) applyReport(now time.Time, r turmericshed.LoadReport) {
	p.mu.Lock()
	p.router.Report(now, r)
	p.enableSpillFor(r)
	p.mu.Unlock()
	if p.cfg.OnApplied != nil {
		p.cfg.OnApplied(now, r)
	}
	if r.Leaving {
		p.publishLeaving(r.Server)
	}
}

// SetLeaving excludes a server from new work at once and publishes it as leaving to
// the peers.
func (p *Pool) SetLeaving(now time.Time, id turmericshed.ServerID) {
	p.mu.Lock()
	p.router.SetLeaving(now, id)
	p.mu.Unlock()
	p.publishLeaving(id)
}

// Pause excludes a server from new work for the duration d.
func (p *Pool) Pause(now time.Time, id turmericshed.ServerID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Pause(now, id, d)
}

// InService reports whether requests may still be sent to a server.
func (p *Pool) InService(now time.Time, id turmericshed.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.InService(now, id)
}

// publishLeaving marks a server as leaving on the board, from which the peers learn
// of it.
func (p *Pool) publishLeaving(id turmericshed.ServerID) {
	isNotMarked := func(s turmericshed.BackendServer) bool { return s.ID == id && !s.Leaving }
	if !slices.ContainsFunc(p.cfg.Board.Servers.Read(), isNotMarked) {
		return
	}
	p.cfg.Board.Servers.Update(func(old []turmericshed.BackendServer) []turmericshed.BackendServer {
		next := slices.Clone(old)
		for i := range next {
			next[i].Leaving = next[i].Leaving || next[i].ID == id
		}
		return next
	})
}

// Pick chooses a server. For servers that announce a limit it waits for a permit,
// at most maxPermitWait in all; after that, only a permit that is available at once
// counts. Errors: KindNoBackend, KindOverloaded, KindCanceled when ctx ended.
func (p *Pool) Pick(ctx context.Context, now time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	if p.cfg.Limits == nil {
		return p.pick(now, r)
	}
	waitCtx, cancel := context.WithTimeout(ctx, maxPermitWait)
	defer cancel()
	closed := p.cfg.Limits.Closed(now)
	for {
		if ctx.Err() != nil {
			return turmericshed.BackendServer{}, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "while a server was chosen")
		}
		open := r
		open.Excluded = slices.AppendSeq(slices.Clone(r.Excluded), maps.Keys(closed))
		s, err := p.pick(now, open)
		if err != nil {
			return s, p.limitError(now, r, closed, err)
		}
		acquired := p.cfg.Limits.Acquire(waitCtx, s)
		if acquired && p.InService(time.Now(), s.ID) {
			return s, nil
		}
		p.unassign(now, s.ID, open)
		if acquired {
			// The server left while its permit was acquired.
			p.cfg.Limits.Return(s)
			r.Excluded = append(slices.Clone(r.Excluded), s.ID)
			continue
		}
		if closed == nil {
			closed = make(map[turmericshed.ServerID]time.Time)
		}
		// A request tries to acquire a permit of each server at most once, even if
		// more permits become free in the meantime.
		closed[s.ID] = p.cfg.Limits.Closed(now)[s.ID]
	}
}

func (p *Pool) pick(now time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Pick(now, r)
}

// RequestNotSent reports that a request was not sent to the server picked for it, and
// returns the permit so that another request can use it.
func (p *Pool) RequestNotSent(s turmericshed.BackendServer) {
	if p.cfg.Limits != nil {
		p.cfg.Limits.Return(s)
	}
}

func (p *Pool) unassign(now time.Time, id turmericshed.ServerID, r turmericshed.RouteRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Unassign(now, id, r)
}

// FirstByte reports that the first byte of an answer, or the first event of a stream,
// arrived from a server that Pick returned.
func (p *Pool) FirstByte(now time.Time, id turmericshed.ServerID, r turmericshed.RouteRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.FirstByte(now, id, r)
}

// limitError returns KindOverloaded with a retry-after time if only limits exclude
// the servers that could take the request, otherwise err. The retry-after time is
// random, so that requests that are refused together are not retried together.
func (p *Pool) limitError(now time.Time, r turmericshed.RouteRequest, closed map[turmericshed.ServerID]time.Time, err error) error {
	if len(closed) == 0 || turmericshed.KindOf(err) != turmericshed.KindNoBackend {
		return err
	}
	p.mu.Lock()
	opensAt, ok := p.router.EarliestReopening(now, r, closed)
	p.mu.Unlock()
	if !ok {
		return err
	}
	wait := max(opensAt.Sub(now), minLimitRetryAfter)
	err = turmericshed.NewError(turmericshed.KindOverloaded, "every server is at the limit that it names")
	return turmericshed.WithRetryAfter(err, wait+rand.N(wait))
}

// Done ends an attempt that Pick counted. If the server refused the request because
// it is leaving, the server is excluded from new work.
func (p *Pool) Done(now time.Time, id turmericshed.ServerID, r turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	if p.cfg.OnAttempt != nil {
		p.cfg.OnAttempt(r, res)
	}
	if tsbackend.IsLeaving(res.Err) {
		p.SetLeaving(now, id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countSpill(id, r, res)
	p.router.Done(now, id, r, res)
}

// Load returns the load per slot and the number of slots of the servers for a kind
// of work.
func (p *Pool) Load(now time.Time, work turmericshed.WorkKind) (pressure float64, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Pressure(now, work), p.router.Slots(work)
}

// Controllers returns the loops that follow the board and poll loads.
func (p *Pool) Controllers() []turmericshed.Controller {
	controllers := []turmericshed.Controller{serverController{p}, loadController{p}}
	if p.cfg.LoadReader != nil {
		controllers = append(controllers, pollController{p})
	}
	return controllers
}

// serverController applies the board's servers to the pool.
type serverController struct{ pool *Pool }

// String names the controller in the supervisor's log.
func (serverController) String() string { return "routing servers" }

// Serve runs until ctx ends.
func (c serverController) Serve(ctx context.Context) error {
	for {
		servers, changed := c.pool.cfg.Board.Servers.Watch()
		c.pool.SetServers(time.Now(), servers)
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// loadController applies the board's load reports, both local ones and those from
// peers.
type loadController struct{ pool *Pool }

// String names the controller in the supervisor's log.
func (loadController) String() string { return "routing loads" }

// Serve runs until ctx ends.
func (c loadController) Serve(ctx context.Context) error {
	for {
		loads, changed := c.pool.cfg.Board.Loads.Watch()
		for _, r := range loads {
			c.pool.applyReport(time.Now(), r)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pollController polls the load of one due server at a time, at a rate that does
// not grow with the number of servers. Peers poll other servers and share their
// reports through the board.
type pollController struct{ pool *Pool }

// String names the controller in the supervisor's log.
func (pollController) String() string { return "load reader" }

// Serve runs until ctx ends.
func (c pollController) Serve(ctx context.Context) error {
	for {
		t := time.NewTimer(c.interval())
		select {
		case now := <-t.C:
			if s, ok := c.dueServer(now); ok {
				go c.readLoad(ctx, s)
			}
		case <-ctx.Done():
			t.Stop()
			return ctx.Err()
		}
	}
}

// interval returns the time between polls.
func (c pollController) interval() time.Duration {
	if len(c.pool.cfg.Board.Servers.Read()) > maxFastPollServers {
		return time.Second / slowPollsPerSecond
	}
	return time.Second / pollsPerSecond
}

// dueServer returns the server with the oldest report out of four random ones, if
// that report is at least minPollAge old.
func (c pollController) dueServer(now time.Time) (turmericshed.BackendServer, bool) {
	servers := c.pool.cfg.Board.Servers.Read()
	if len(servers) == 0 {
		return turmericshed.BackendServer{}, false
	}
	loads := c.pool.cfg.Board.Loads.Read()
	oldest := servers[rand.IntN(len(servers))]
	for range 3 {
		if s := servers[rand.IntN(len(servers))]; loads[s.ID].At.Before(loads[oldest.ID].At) {
			oldest = s
		}
	}
	return oldest, now.Sub(loads[oldest.ID].At) >= minPollAge
}

// readLoad polls the load of s and writes it to the board, unless the board has a
// newer report.
func (c pollController) readLoad(ctx context.Context, s turmericshed.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := c.pool.cfg.LoadReader.Load(ctx, s)
	if err != nil {
		return
	}
	r.Server = s.ID
	c.pool.cfg.Board.Loads.Update(func(old map[turmericshed.ServerID]turmericshed.LoadReport) map[turmericshed.ServerID]turmericshed.LoadReport {
		if !r.At.After(old[s.ID].At) {
			return old
		}
		next := maps.Clone(old)
		if next == nil {
			next = map[turmericshed.ServerID]turmericshed.LoadReport{}
		}
		next[s.ID] = r
		return next
	})
}
