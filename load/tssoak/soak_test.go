package tssoak_test

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/load/tssoak"
)

// assertNoFailure runs a seed. It fails with the last trace lines when an invariant
// was violated, and when the results do not add up to the number of requests.
func assertNoFailure(t *testing.T, seed uint64, d time.Duration) tssoak.Report {
	t.Helper()
	r := tssoak.Run(tssoak.Options{Seed: seed, Duration: d})
	assert.Assert(t, r.Failure == "", "seed %d: %s\n%s", seed, r.Failure, r.TraceTail)
	assert.Equal(t, r.Requests, r.Answered+r.Failed+r.Unknown+total(r.Refused))
	return r
}

func total(refused map[string]int) int {
	n := 0
	for _, k := range refused {
		n += k
	}
	return n
}

// TestSoak guards against violated invariants under injected faults, and against
// runs whose load is too small to exercise them.
func TestSoak(t *testing.T) {
	for seed := uint64(1); seed <= 4; seed++ {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			r := assertNoFailure(t, seed, 3*time.Minute)
			assert.Assert(t, r.Answered > 80 && r.Calls > 20 && r.Edits > 3 && r.Consumed > 0, "%+v", r)
		})
	}
}

// TestSameSeedSameRun guards against nondeterminism, with which a failing seed
// could not be reproduced. It also checks that another seed gives another run.
func TestSameSeedSameRun(t *testing.T) {
	var first, second bytes.Buffer
	a := tssoak.Run(tssoak.Options{Seed: 7, Duration: 2 * time.Minute, Trace: &first})
	b := tssoak.Run(tssoak.Options{Seed: 7, Duration: 2 * time.Minute, Trace: &second})
	assert.DeepEqual(t, a, b)
	assert.Assert(t, first.Len() > 0 && bytes.Equal(first.Bytes(), second.Bytes()))
	c := tssoak.Run(tssoak.Options{Seed: 8, Duration: 2 * time.Minute})
	assert.Assert(t, a.Digest != c.Digest)
}
