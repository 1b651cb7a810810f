package tsintake_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsintake"
)

const (
	smallestMachine = 112_000_000
	largestBody     = 4_194_304
	usualBody       = 100_000
	// timeToStall is longer than any stall timeout.
	timeToStall = 2 * time.Second
)

var start = time.Unix(1000, 0)

// budgetWith returns the budget of the smallest machine with n bodies of the given size reserved,
// numbered from 1.
func budgetWith(t *testing.T, n int, size int64) *tsintake.Budget {
	t.Helper()
	b := tsintake.NewBudget(tsintake.BudgetFor(smallestMachine))
	for i := range n {
		_, ok := b.Reserve(start, tsintake.BodyID(i+1), size)
		assert.Assert(t, ok, "body %d", i)
	}
	return b
}

// fill reserves bodies of the given size until one is refused, and returns how many fit.
func fill(b *tsintake.Budget, now time.Time, first tsintake.BodyID, size int64) (n int) {
	for {
		if _, ok := b.Reserve(now, first+tsintake.BodyID(n), size); !ok {
			return n
		}
		n++
	}
}

// Guards against a limit that a single request inside the limits meets in a calm period, or the
// usual traffic of the smallest machine.
func TestSmallestMachineHoldsLegalBodies(t *testing.T) {
	b := budgetWith(t, 0, 0)
	_, ok := b.Reserve(start, 1, largestBody)
	assert.Assert(t, ok)
	assert.Assert(t, fill(b, start, 2, usualBody) >= 200)
}

// Guards against many whole bodies at once: what is reserved never exceeds the budget, and bodies
// of usual size find room beside large ones.
func TestLargeBodiesLeaveRoomForUsualOnes(t *testing.T) {
	b := budgetWith(t, 0, 0)
	fill(b, start, 1, largestBody)
	assert.Assert(t, b.Held() <= smallestMachine/4*3/4)
	assert.Assert(t, fill(b, start, 1000, usualBody) >= 50)
	assert.Assert(t, b.Held() <= smallestMachine/4)
}

// Guards against bodies that stop just short of their end and keep their memory from others.
func TestStalledBodiesAreEvicted(t *testing.T) {
	t.Run("the largest first, then the one that received least", func(t *testing.T) {
		b := budgetWith(t, 0, 0)
		n := fill(b, start, 1, largestBody)
		for i := range n {
			b.Received(start, tsintake.BodyID(i+1), largestBody-10-int64(i))
		}
		evicted, ok := b.Reserve(start.Add(timeToStall), 100, largestBody)
		assert.Assert(t, ok)
		assert.DeepEqual(t, evicted, []tsintake.BodyID{tsintake.BodyID(n)})
	})
	t.Run("only as many as needed", func(t *testing.T) {
		b := budgetWith(t, 0, 0)
		fill(b, start, 1, largestBody)
		fill(b, start, 100, usualBody)
		evicted, ok := b.Reserve(start.Add(timeToStall), 1000, usualBody)
		assert.Assert(t, ok)
		assert.Equal(t, len(evicted), 1)
	})
	t.Run("a few bytes now and then are no progress", func(t *testing.T) {
		b := budgetWith(t, 0, 0)
		n := fill(b, start, 1, largestBody)
		for i := range n {
			for ms := range 20 {
				b.Received(start.Add(time.Duration(ms)*100*time.Millisecond), tsintake.BodyID(i+1), 1)
			}
		}
		_, ok := b.Reserve(start.Add(timeToStall), 100, largestBody)
		assert.Assert(t, ok)
	})
}

// Guards against evicting a body that arrives, or that is already read: its request may run.
func TestBodiesInUseAreNotEvicted(t *testing.T) {
	for name, keep := range map[string]func(b *tsintake.Budget, id tsintake.BodyID){
		"arriving": func(b *tsintake.Budget, id tsintake.BodyID) {
			b.Received(start.Add(timeToStall-time.Millisecond), id, largestBody/2)
		},
		"complete": func(b *tsintake.Budget, id tsintake.BodyID) { b.Complete(id, largestBody) },
	} {
		t.Run(name, func(t *testing.T) {
			b := budgetWith(t, 0, 0)
			n := fill(b, start, 1, largestBody)
			for i := range n {
				keep(b, tsintake.BodyID(i+1))
			}
			held := b.Held()
			_, ok := b.Reserve(start.Add(timeToStall), 100, largestBody)
			assert.Assert(t, !ok)
			assert.Equal(t, b.Held(), held, "a refusal changes nothing")
		})
	}
}

// Guards against bodies without a length: each step of one counts, and so does its growth from a
// usual to a large body.
func TestBodiesThatGrowStayWithinTheBudget(t *testing.T) {
	b := budgetWith(t, 0, 0)
	refused := 0
	for range 1024 {
		for id := range 60 {
			if _, ok := b.Reserve(start, tsintake.BodyID(id+1), 4096); !ok {
				refused++
			}
		}
	}
	assert.Assert(t, refused > 0)
	assert.Assert(t, b.Held() <= smallestMachine/4)
	assert.Assert(t, fill(b, start, 1000, usualBody) >= 50, "usual bodies find room")
}

// Guards against answers that take the memory of requests' bodies, and against evicting one: its
// request has run.
func TestAnswersLeaveRoomForBodies(t *testing.T) {
	b := budgetWith(t, 0, 0)
	n := 0
	for b.ReserveAnswer(tsintake.BodyID(n%60+1), 65536) {
		n++
	}
	held := b.Held()
	assert.Assert(t, held > smallestMachine/4/2-65536 && held <= smallestMachine/4/2)
	fill(b, start, 100, largestBody)
	assert.Assert(t, fill(b, start, 1000, usualBody) >= 50)
	assert.Assert(t, b.Held() <= smallestMachine/4)
	for i := range tsintake.BodyID(1000) {
		b.Release(i + 100)
	}
	assert.Equal(t, b.Held(), held)
	evicted, _ := b.Reserve(start.Add(timeToStall), 5000, smallestMachine)
	assert.Equal(t, len(evicted), 0)
}

// Guards against a body that ends shorter than it grew keeping the difference.
func TestCompleteFreesTheRest(t *testing.T) {
	b := budgetWith(t, 1, 8192)
	b.Complete(1, 5000)
	assert.Equal(t, b.Held(), int64(5000))
	b.Release(1)
	b.Release(1)
	assert.Equal(t, b.Held(), int64(0))
}

// Guards against a limit on a machine whose memory is unknown.
func TestUnknownMemorySetsNoLimit(t *testing.T) {
	b := tsintake.NewBudget(tsintake.BudgetFor(0))
	for id := range 1000 {
		_, ok := b.Reserve(start, tsintake.BodyID(id+1), largestBody)
		assert.Assert(t, ok)
	}
}

// Guards against reservations that leak or exceed the budget in any order of calls.
func TestRandomCallsKeepTheSum(t *testing.T) {
	for seed := range uint64(20) {
		rng := rand.New(rand.NewPCG(seed, seed))
		b := budgetWith(t, 0, 0)
		now := start
		sizes := map[tsintake.BodyID]int64{}
		for range 5000 {
			now = now.Add(time.Duration(rng.Int64N(int64(20 * time.Millisecond))))
			id := tsintake.BodyID(rng.IntN(100) + 1)
			switch rng.IntN(5) {
			case 0, 1:
				n := rng.Int64N(largestBody)
				evicted, ok := b.Reserve(now, id, n)
				for _, v := range evicted {
					delete(sizes, v)
				}
				if ok {
					sizes[id] += n
				}
			case 2:
				b.Received(now, id, rng.Int64N(100_000))
			case 3:
				if size, held := sizes[id]; held {
					sizes[id] = min(size, largestBody/2)
					b.Complete(id, largestBody/2)
				}
			case 4:
				b.Release(id)
				delete(sizes, id)
			}
			var sum int64
			for _, size := range sizes {
				sum += size
			}
			assert.Equal(t, b.Held(), sum, "seed %d", seed)
			assert.Assert(t, sum <= smallestMachine/4, "seed %d", seed)
		}
	}
}
