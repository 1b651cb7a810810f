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

// Bounds of load polling.
const (
	// pollsPerSecond is the number of load readings that one process takes a second
	// while there are up to pollServers.
	pollsPerSecond     = 20
	maxFastPollServers = 40
	// slowPollsPerSecond is the same for more servers. Readings would be too old to
	// choose by then; they still tell of overload and of servers that leave.
	slowPollsPerSecond = 4
	// pollTimeout bounds one reading.
	pollTimeout = 500 * time.Millisecond
	// minPollAge is the age of a report that makes a reading due.
	minPollAge = 500 * time.Millisecond
	// maxPermitWait is how long a request waits for permits, at all limited servers
	// together.
	maxPermitWait = 300 * time.Millisecond
	// minLimitRetryAfter is the least advice where servers are at their limits.
	minLimitRetryAfter = 200 * time.Millisecond
)

// PoolConfig holds what a Pool needs.
type PoolConfig struct {
	Self turmericshed.FailureDomain
	// Region is the own region; empty counts all servers as near.
	Region turmericshed.Region
	Board  *tsboard.Board
	// Homes is the number of servers that any prefix may be cached at; 0 takes
	// the router's default.
	Homes int
	// Loads reads a server's load; nil turns polling off.
	Loads    turmericshed.LoadReader
	Rand     *rand.Rand
	Recorder turmericshed.Recorder
	// Limits keeps to the limits that servers name; nil knows of none.
	Limits turmericshed.ServerLimits
	// Attempted is told of each ended attempt; may be nil.
	Attempted func(turmericshed.RouteRequest, turmericshed.DispatchResult)
}

// Pool is a router that is safe for concurrent use and follows the blackboard.
type Pool struct {
	cfg PoolConfig

	mu     sync.Mutex
	router *tsroute.Router
}

var _ turmericshed.Router = (*Pool)(nil)

// NewPool returns a pool with the servers that the board has now.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	p := &Pool{cfg: cfg, router: tsroute.New(tsroute.Config{
		Self: cfg.Self, Region: cfg.Region, Homes: cfg.Homes, Rand: cfg.Rand, Recorder: cfg.Recorder,
	})}
	p.router.SetServers(time.Now(), cfg.Board.Servers.Read())
	return p
}

// SetServers replaces the candidates.
func (p *Pool) SetServers(now time.Time, servers []turmericshed.BackendServer) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.SetServers(now, servers)
}

// Report joins a load report.
func (p *Pool) Report(now time.Time, r turmericshed.LoadReport) {
	p.mu.Lock()
	p.router.Report(now, r)
	p.mu.Unlock()
	if r.Leaving {
		p.publishLeaving(r.Server)
	}
}

// SetLeaving takes a server out at once, and posts it for the peers.
func (p *Pool) SetLeaving(now time.Time, id turmericshed.ServerID) {
	p.mu.Lock()
	p.router.SetLeaving(now, id)
	p.mu.Unlock()
	p.publishLeaving(id)
}

// Pause keeps new work from a server for a time.
func (p *Pool) Pause(now time.Time, id turmericshed.ServerID, d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Pause(now, id, d)
}

// InService reports whether a server may still be sent to.
func (p *Pool) InService(now time.Time, id turmericshed.ServerID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.InService(now, id)
}

// publishLeaving marks a server as leaving on the board, from where peers hear of it.
func (p *Pool) publishLeaving(id turmericshed.ServerID) {
	unmarked := func(s turmericshed.BackendServer) bool { return s.ID == id && !s.Leaving }
	if !slices.ContainsFunc(p.cfg.Board.Servers.Read(), unmarked) {
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

// Pick chooses a server. It waits for permits of those that name a limit, for
// permitsWait in all; servers that come later are chosen for permits at hand.
// Errors: KindNoBackend, KindOverloaded, KindCanceled when ctx ended.
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
		p.release(now, s.ID)
		if acquired {
			// It left while the permit was drawn.
			p.cfg.Limits.Return(s)
			r.Excluded = append(slices.Clone(r.Excluded), s.ID)
			continue
		}
		if closed == nil {
			closed = make(map[turmericshed.ServerID]time.Time)
		}
		// A request tries a server's limit once, also when it opens meanwhile.
		closed[s.ID] = p.cfg.Limits.Closed(now)[s.ID]
	}
}

func (p *Pool) pick(now time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Pick(now, r)
}

// Unsent tells that a request was not sent to the server picked for it, whose
// permit serves another one.
func (p *Pool) Unsent(s turmericshed.BackendServer) {
	if p.cfg.Limits != nil {
		p.cfg.Limits.Return(s)
	}
}

func (p *Pool) release(now time.Time, id turmericshed.ServerID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Release(now, id)
}

// limitError tells when a request that only limits keep from servers should
// come again. Those that are refused at one time are spread over the time that
// follows.
func (p *Pool) limitError(now time.Time, r turmericshed.RouteRequest, closed map[turmericshed.ServerID]time.Time, err error) error {
	if len(closed) == 0 || turmericshed.KindOf(err) != turmericshed.KindNoBackend {
		return err
	}
	p.mu.Lock()
	until, ok := p.router.Opens(now, r, closed)
	p.mu.Unlock()
	if !ok {
		return err
	}
	wait := max(until.Sub(now), minLimitRetryAfter)
	err = turmericshed.NewError(turmericshed.KindOverloaded, "every server is at the limit that it names")
	return turmericshed.WithRetryAfter(err, wait+rand.N(wait))
}

// Done ends an attempt counted by Pick. A refusal that tells that the server
// is leaving takes it out.
func (p *Pool) Done(now time.Time, id turmericshed.ServerID, r turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	if p.cfg.Attempted != nil {
		p.cfg.Attempted(r, res)
	}
	if tsbackend.IsLeaving(res.Err) {
		p.SetLeaving(now, id)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.router.Done(now, id, r, res)
}

// Load returns the load per slot and the slots of the servers for a kind of
// work.
func (p *Pool) Load(now time.Time, work turmericshed.WorkKind) (pressure float64, slots int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.router.Pressure(now, work), p.router.Slots(work)
}

// Controllers returns the parts that follow the board and read loads.
func (p *Pool) Controllers() []turmericshed.Controller {
	cs := []turmericshed.Controller{serverController{p}, loadController{p}}
	if p.cfg.Loads != nil {
		cs = append(cs, pollController{p})
	}
	return cs
}

// serverController takes over the board's servers.
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

// loadController takes over the board's load reports, own and from peers.
type loadController struct{ pool *Pool }

// String names the controller in the supervisor's log.
func (loadController) String() string { return "routing loads" }

// Serve runs until ctx ends.
func (c loadController) Serve(ctx context.Context) error {
	for {
		loads, changed := c.pool.cfg.Board.Loads.Watch()
		for _, r := range loads {
			c.pool.Report(time.Now(), r)
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// pollController reads the load of one due server at a time, at a rate that
// does not grow with the number of servers. Peers read other ones; what they
// read comes in through the board.
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

// interval returns the time between readings.
func (c pollController) interval() time.Duration {
	if len(c.pool.cfg.Board.Servers.Read()) > maxFastPollServers {
		return time.Second / slowPollsPerSecond
	}
	return time.Second / pollsPerSecond
}

// dueServer returns a server whose report is old: the oldest of two random ones.
func (c pollController) dueServer(now time.Time) (turmericshed.BackendServer, bool) {
	servers := c.pool.cfg.Board.Servers.Read()
	if len(servers) == 0 {
		return turmericshed.BackendServer{}, false
	}
	loads := c.pool.cfg.Board.Loads.Read()
	best := servers[rand.IntN(len(servers))]
	for range 3 {
		if s := servers[rand.IntN(len(servers))]; loads[s.ID].At.Before(loads[best.ID].At) {
			best = s
		}
	}
	return best, now.Sub(loads[best.ID].At) >= minPollAge
}

// readLoad posts the load of s to the board.
func (c pollController) readLoad(ctx context.Context, s turmericshed.BackendServer) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	r, err := c.pool.cfg.Loads.Load(ctx, s)
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
