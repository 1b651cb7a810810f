package tsintake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsintake"
)

const (
	// crowdSize is the number of callers in a crowd, crowdTime how long it sends.
	crowdSize = 300
	crowdTime = 30 * time.Second
	// tick is the step of simulated time, probeInterval the time between two ordinary requests.
	tick          = 10 * time.Millisecond
	probeInterval = 200 * time.Millisecond
	// usualRate is the pace in bytes a second at which an ordinary body arrives.
	usualRate = 10_000_000
)

var (
	crowdFlow   = tsintake.Flow{Account: "stall", Service: "desk"}
	otherFlow   = tsintake.Flow{Account: "other", Service: "desk"}
	serviceFlow = tsintake.Flow{Account: "stall", Service: "odd"}
)

// upload is a body on its way, which a simulated caller sends.
type upload struct {
	id          tsintake.BodyID
	growth      tsintake.Growth
	size        int64
	held        int64
	blockLeft   int64
	received    int64
	isRefused   bool
	isComplete  bool
	completedAt time.Time
}

// machine is a budget with simulated uploads.
type machine struct {
	budget *tsintake.Budget
	now    time.Time
	lastID tsintake.BodyID
	open   map[tsintake.BodyID]*upload
	// maxHeld is the most that was reserved at any time.
	maxHeld int64
}

func newMachine() *machine {
	return &machine{budget: tsintake.NewBudget(tsintake.BudgetFor(smallestMachine)), now: start, open: map[tsintake.BodyID]*upload{}}
}

// begin announces a body; it is refused if it doesn't fit.
func (m *machine) begin(f tsintake.Flow, size int64) *upload {
	m.lastID++
	u := &upload{id: m.lastID, size: size, growth: tsintake.Growth{Length: size}}
	m.open[u.id] = u
	m.budget.Open(m.now, u.id, f, size)
	if !m.budget.Fits(m.now, u.id, size) {
		m.end(u)
		u.isRefused = true
		return u
	}
	m.nextBlock(u)
	return u
}

// nextBlock reserves the next block of a body, and ends the bodies that are evicted for it.
func (m *machine) nextBlock(u *upload) {
	block, reserved := u.growth.Next()
	u.blockLeft = block
	if reserved == u.held {
		return
	}
	evicted, ok := m.budget.Reserve(m.now, u.id, reserved-u.held)
	for _, id := range evicted {
		m.open[id].isRefused = true
		delete(m.open, id)
	}
	if !ok {
		m.end(u)
		u.isRefused = true
	}
	u.held = reserved
	m.maxHeld = max(m.maxHeld, m.budget.Held())
}

// receive lets n bytes of a body arrive.
func (m *machine) receive(u *upload, n int64) {
	for n = min(n, u.size-u.received); n > 0 && !u.isRefused; {
		k := min(n, u.blockLeft)
		m.budget.Received(m.now, u.id, k)
		u.growth.Received(k)
		u.received += k
		u.blockLeft -= k
		n -= k
		if u.received == u.size {
			m.budget.Complete(u.id, u.size)
			u.isComplete, u.completedAt = true, m.now
		} else if u.blockLeft == 0 {
			m.nextBlock(u)
		}
	}
}

// end releases a body.
func (m *machine) end(u *upload) {
	m.budget.Release(u.id)
	delete(m.open, u.id)
}

// probe is an ordinary request that was sent once.
type probe struct {
	flow tsintake.Flow
	*upload
}

// runCrowd lets the crowd send for crowdTime, and ordinary callers with the flows send one request
// after another beside it. It returns how many of those of each flow were refused, and of how many.
// step lets one caller of the crowd act for a tick; u is its upload, nil before the first one, and it
// returns the one after the tick.
func runCrowd(m *machine, flows []tsintake.Flow, step func(m *machine, i int, u *upload) *upload) (refused map[tsintake.Flow]int, sent int) {
	refused = map[tsintake.Flow]int{}
	uploads := make([]*upload, crowdSize)
	var probes []probe
	for elapsed := time.Duration(0); elapsed < crowdTime; elapsed += tick {
		m.now = m.now.Add(tick)
		for i := range uploads {
			uploads[i] = step(m, i, uploads[i])
		}
		var left []probe
		for _, p := range probes {
			m.receive(p.upload, usualRate*int64(tick)/int64(time.Second))
			switch {
			case p.isRefused:
				refused[p.flow]++
			case p.isComplete:
				m.end(p.upload)
			default:
				left = append(left, p)
			}
		}
		probes = left
		if elapsed%probeInterval == 0 {
			sent++
			for _, f := range flows {
				probes = append(probes, probe{f, m.begin(f, usualBody)})
			}
		}
	}
	return refused, sent
}

// assertNoneRefused checks that no ordinary request was refused beside a crowd.
func assertNoneRefused(t *testing.T, flows []tsintake.Flow, step func(m *machine, i int, u *upload) *upload) {
	t.Helper()
	m := newMachine()
	refused, sent := runCrowd(m, flows, step)
	for _, f := range flows {
		assert.Check(t, refused[f] == 0, "%+v: %d of %d refused", f, refused[f], sent)
	}
	assert.Assert(t, m.maxHeld <= smallestMachine/4)
}

// Guards against a crowd whose bodies arrive steadily but slowly, and that keeps the memory from
// others, also from callers of its own client account.
func TestBodiesThatDripGiveWay(t *testing.T) {
	for _, rate := range []int64{6_000, 10_000, 23_000} {
		rng := rand.New(rand.NewPCG(1, uint64(rate)))
		assertNoneRefused(t, []tsintake.Flow{otherFlow, crowdFlow}, func(m *machine, i int, u *upload) *upload {
			if u == nil || u.isRefused || u.isComplete {
				if u != nil && !u.isRefused {
					m.end(u)
				}
				return m.begin(crowdFlow, 20<<10+rng.Int64N(236<<10))
			}
			// Each caller sends twice a second.
			if (int64(m.now.Sub(start)/tick)+int64(i))%50 == 0 {
				m.receive(u, rate/2)
			}
			return u
		})
	}
}

// Guards against reserving memory for bodies that are only announced.
func TestAnnouncementsTakeNoMemoryFromOthers(t *testing.T) {
	rng := rand.New(rand.NewPCG(2, 2))
	assertNoneRefused(t, []tsintake.Flow{otherFlow, crowdFlow}, func(m *machine, i int, u *upload) *upload {
		if u != nil && !u.isRefused && (int64(m.now.Sub(start)/tick)+int64(i))%90 != 0 {
			return u
		}
		if u != nil && !u.isRefused {
			m.end(u)
		}
		return m.begin(crowdFlow, 20<<10+rng.Int64N(236<<10))
	})
}

// Guards against requests that wait for a slow service and keep the memory from other client
// accounts, and from other services.
func TestBodiesOfASlowServiceLeaveRoom(t *testing.T) {
	const answerTime = 7 * time.Second
	desk := tsintake.Flow{Account: "stall", Service: "desk"}
	assertNoneRefused(t, []tsintake.Flow{otherFlow, desk}, func(m *machine, _ int, u *upload) *upload {
		switch {
		case u == nil || u.isRefused:
			return m.begin(serviceFlow, 200_000)
		case !u.isComplete:
			m.receive(u, 100_000)
		case m.now.Sub(u.completedAt) >= answerTime:
			m.end(u)
			return m.begin(serviceFlow, 200_000)
		}
		return u
	})
}

// Guards against evicting an honest body on a slow link before those that drip.
func TestLargeBodyOnASlowLinkOutlastsADrip(t *testing.T) {
	m := newMachine()
	large := m.begin(crowdFlow, largestBody)
	rng := rand.New(rand.NewPCG(3, 3))
	step := func(m *machine, i int, u *upload) *upload {
		if i == 0 {
			// 1 MB a second: the body takes four seconds.
			m.receive(large, 10_000)
		}
		if u == nil || u.isRefused || u.isComplete {
			if u != nil && !u.isRefused {
				m.end(u)
			}
			return m.begin(crowdFlow, 20<<10+rng.Int64N(236<<10))
		}
		if (int64(m.now.Sub(start)/tick)+int64(i))%50 == 0 {
			m.receive(u, 4_000)
		}
		return u
	}
	runCrowd(m, nil, step)
	assert.Assert(t, large.isComplete && !large.isRefused)
}
