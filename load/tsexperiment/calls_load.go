package tsexperiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/io/tscalls"
)

const (
	callAccount = turmericshed.AccountID("corner-1")
	// callDeadline is how long a caller waits for one attempt.
	callDeadline = 2 * time.Second
	// callAttempts is the maximum number of attempts of one caller.
	callAttempts = 4
	// settleDuration is the time left for writing outcomes after the load has ended.
	settleDuration = 4 * time.Second
)

// callBook records the outcomes that callers received.
type callBook struct {
	mu             sync.Mutex
	calls          map[string]*callEntry
	latency        *hdrhistogram.Histogram
	unknownAnswers int
	refused        int
	falseNotRun    int
	foreignAnswers int
}

type callEntry struct {
	answered bool
	// mayHaveRun is set after an attempt whose outcome the caller does not know.
	mayHaveRun bool
}

func newCallBook() *callBook {
	return &callBook{calls: map[string]*callEntry{}, latency: hdrhistogram.New(1, 60_000_000, 3)}
}

func (b *callBook) entry(key string) *callEntry {
	e, ok := b.calls[key]
	if !ok {
		e = &callEntry{}
		b.calls[key] = e
	}
	return e
}

// callLoad sends calls to a fleet and records what the callers receive.
type callLoad struct {
	fleet *callFleet
	book  *callBook
	// callsPerSecond is the rate of calls.
	callsPerSecond int
	// duplicateShare is the share of calls that two callers send concurrently.
	duplicateShare float64
}

// run sends calls for d and waits for every caller to finish. It returns the number of calls.
func (l *callLoad) run(ctx context.Context, r *rand.Rand, d time.Duration) int {
	var wg sync.WaitGroup
	n := int(d.Seconds() * float64(l.callsPerSecond))
	began := time.Now()
	for i := range n {
		at := began.Add(time.Duration(float64(i) / float64(l.callsPerSecond) * float64(time.Second)))
		time.Sleep(time.Until(at))
		key := fmt.Sprint("job-", i)
		callers := 1
		if r.Float64() < l.duplicateShare {
			callers = 2
		}
		for c := range callers {
			seed := rand.New(rand.NewPCG(r.Uint64(), uint64(c)))
			wg.Go(func() { l.runCaller(ctx, seed, key) })
		}
	}
	wg.Wait()
	return n
}

// runCaller sends one call until it receives an answer or has made callAttempts attempts.
func (l *callLoad) runCaller(ctx context.Context, r *rand.Rand, key string) {
	for n := range callAttempts {
		attempt := fmt.Sprintf("%s/%d/%d", key, n, r.Uint64())
		a, err := l.fleet.pickLive(r).attemptCall(ctx, key, attempt, l.book)
		if l.record(key, attempt, a, err) {
			return
		}
		time.Sleep(time.Duration(100+r.IntN(200)) * time.Millisecond)
	}
}

// record adds the outcome of an attempt to the book. It reports whether the caller is done.
func (l *callLoad) record(key, attempt string, a turmericshed.Answer, err error) bool {
	l.fleet.service.mu.Lock()
	executed := l.fleet.service.executedAttempts[attempt]
	l.fleet.service.mu.Unlock()
	b := l.book
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.entry(key)
	if err == nil {
		if string(a.Body) != fmt.Sprintf(`{"job":%q,"state":"booked"}`, serviceKey(key)) {
			b.foreignAnswers++
		}
		e.answered = true
		return true
	}
	if turmericshed.OutcomeOf(err) == turmericshed.OutcomeNotRun {
		b.refused++
		if executed {
			b.falseNotRun++
		}
		return false
	}
	b.unknownAnswers++
	e.mayHaveRun = true
	return false
}

// attemptCall makes one attempt at a call that must not run twice, as an entry VM does.
func (v *callVM) attemptCall(ctx context.Context, key, attempt string, b *callBook) (turmericshed.Answer, error) {
	errLost := turmericshed.NewError(turmericshed.KindCallUnknown, "connection to the entry VM was lost")
	ctx, cancel := context.WithTimeout(ctx, callDeadline)
	defer cancel()
	if v.waitWhilePaused() != nil {
		return turmericshed.Answer{}, errLost
	}
	began := time.Now()
	d, err := v.claims.Claim(ctx, turmericshed.Call{
		Account: callAccount, Profile: "bookings", Service: "bookings", Key: key,
		Digest: turmericshed.Digest("digest of " + key), Request: turmericshed.RequestID(attempt),
	})
	took := time.Since(began)
	if v.waitWhilePaused() != nil {
		return turmericshed.Answer{}, errLost
	}
	switch {
	case err != nil:
		return turmericshed.Answer{}, err
	case d.Verdict == turmericshed.ClaimReplay:
		return d.Answer, nil
	case d.Verdict == turmericshed.ClaimUnknown:
		return turmericshed.Answer{}, turmericshed.NewError(turmericshed.KindCallUnknown, "an earlier attempt may have run")
	}
	b.mu.Lock()
	_ = b.latency.RecordValue(took.Microseconds())
	b.mu.Unlock()
	if err := v.claims.Dispatch(d.Claim); err != nil {
		return turmericshed.Answer{}, err
	}
	if v.waitWhilePaused() != nil {
		return turmericshed.Answer{}, errLost
	}
	return v.send(ctx, key, attempt, d.Claim, errLost)
}

// send sends a dispatched call and records its outcome in the claims.
func (v *callVM) send(ctx context.Context, key, attempt string, claim turmericshed.ClaimID, errLost error) (turmericshed.Answer, error) {
	a, err := v.fleet.service.execute(serviceKey(key), attempt)
	if v.waitWhilePaused() != nil {
		return turmericshed.Answer{}, errLost
	}
	uncanceled := context.WithoutCancel(ctx)
	if err != nil {
		_ = v.claims.MarkInDoubt(ctx, claim, err.Error())
		return a, err
	}
	go func() { _ = v.claims.Complete(uncanceled, claim, a) }()
	return a, nil
}

// audit compares the callers' book with the records of the service and the store.
func (l *callLoad) audit(ctx context.Context, calls int, elapsed time.Duration) (CallsResult, error) {
	res := CallsResult{Calls: calls, Seconds: elapsed.Seconds()}
	inDoubt, settled, err := l.storedOutcomes(ctx)
	if err != nil {
		return res, err
	}
	l.fleet.service.mu.Lock()
	defer l.fleet.service.mu.Unlock()
	b := l.book
	b.mu.Lock()
	defer b.mu.Unlock()
	for key, e := range b.calls {
		runs := l.fleet.service.runCount[serviceKey(key)]
		id := tsclaim.NewID(callAccount, key)
		if runs > 1 {
			res.DoubledCalls++
		}
		if e.answered {
			res.Answered++
			continue
		}
		switch {
		case !e.mayHaveRun && runs > 0:
			res.FalseNotRun++
		case !e.mayHaveRun:
			res.Refused++
		case inDoubt[id]:
			res.InDoubt++
		case runs > 0 && !settled[id]:
			// The call ran, but neither the caller nor the store has a record of it.
			res.LostCalls++
		case runs == 0 && !settled[id]:
			// No attempt ran, and the store shows that none did.
			res.UnplacedAfterUnknown++
		default:
			res.SettledLater++
		}
	}
	res.FalseNotRun += b.falseNotRun
	res.UnknownAnswers, res.ForeignAnswers = b.unknownAnswers, b.foreignAnswers
	res.ClaimP50Micros, res.ClaimP99Micros = b.latency.ValueAtQuantile(50), b.latency.ValueAtQuantile(99)
	counts := l.fleet.store.Counts()
	res.KVWritesPerCall = roundToThousandths(float64(counts.Writes) / float64(calls))
	res.KVWritesPerSecond = roundToThousandths(float64(counts.Writes) / elapsed.Seconds())
	res.KVReadsPerSecond = roundToThousandths(float64(counts.Reads) / elapsed.Seconds())
	res.KVBytesWrittenPerCall = counts.BytesWritten / int64(calls)
	return res, nil
}

// storedOutcomes returns the calls listed as in doubt and those stored as done.
func (l *callLoad) storedOutcomes(ctx context.Context) (inDoubt, settled map[tsclaim.ID]bool, err error) {
	inDoubt, settled = map[tsclaim.ID]bool{}, map[tsclaim.ID]bool{}
	if l.fleet.system != systemClaims {
		return inDoubt, settled, nil
	}
	for slot := range tsclaim.Slots {
		h, err := tscalls.ReadHead(ctx, l.fleet.store, slot)
		if err != nil {
			return nil, nil, err
		}
		for id, e := range h.Entries {
			settled[id] = e.State == tsclaim.StateDone
		}
	}
	err = forEachSealedClaim(ctx, l.fleet.store, func(id tsclaim.ID) { settled[id] = true })
	if err != nil {
		return nil, nil, err
	}
	for _, v := range l.fleet.all() {
		if v.diedAt.Load() != 0 {
			continue
		}
		doubts, err := v.calls.CallsInDoubt(ctx)
		for _, d := range doubts {
			inDoubt[d.ID] = true
		}
		return inDoubt, settled, err
	}
	return inDoubt, settled, nil
}

// forEachSealedClaim calls f for each claim in the sealed segments.
func forEachSealedClaim(ctx context.Context, s turmericshed.Store, f func(id tsclaim.ID)) error {
	after := ""
	for {
		items, err := s.List(ctx, turmericshed.ClaimPrefix+"segments/", after, 100)
		if err != nil || len(items) == 0 {
			return err
		}
		for _, it := range items {
			var seg tsclaim.Segment
			if err := tsclaim.Decode(it.Value, &seg); err != nil {
				return err
			}
			for id := range seg.Entries {
				f(id)
			}
			after = it.Key
		}
	}
}

func roundToThousandths(x float64) float64 { return float64(int(x*1000+0.5)) / 1000 }
