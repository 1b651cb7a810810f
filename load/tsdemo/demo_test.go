package tsdemo_test

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/load/tsdemo"
)

// TestPromises runs the complete system with every failure of the demo, for a shorter
// time, and checks that every promise is kept.
func TestPromises(t *testing.T) {
	r, err := tsdemo.Run(context.Background(), tsdemo.Options{Seed: 7, Duration: 8 * time.Second, Rate: 25, Progress: t.Output()})
	assert.NilError(t, err)
	assert.Assert(t, r.Requests > 0)
	assert.Equal(t, r.Requests, r.Answered+r.Refused+r.Failed+r.Unknown)
	for _, promise := range []struct {
		name   string
		broken int
	}{
		{"overspend_tokens", int(r.OverspendTokens)},
		{"doubled_calls", r.DoubledCalls},
		{"lost_calls", r.LostCalls},
		{"false_not_run", r.FalseNotRun},
		{"billed_twice", r.BilledTwice},
		{"unbilled", int(r.Unbilled)},
		{"partial_answers", r.PartialAnswers},
		{"foreign_frames", r.ForeignFrames},
		{"crashes_by_poison above 2", max(0, r.CrashesByPoison-2)},
		{"invariants_broken", r.InvariantsBroken},
	} {
		t.Run(promise.name, func(t *testing.T) { assert.Equal(t, promise.broken, 0) })
	}
}
