package tsexperiment

import (
	"testing"

	"gotest.tools/v3/assert"
)

// TestFrameMeasures guards against measurements that cannot detect a fault: the unchecked baseline
// must show every kind.
func TestFrameMeasures(t *testing.T) {
	results := runFrames(Options{Seed: 1, Quick: true})
	t.Run("checked streams are complete, without foreign frames and billed once", func(t *testing.T) {
		r := results[0]
		assert.Equal(t, r.PartialAnswers+r.ForeignFrames+r.BilledTwice+r.Unbilled, 0, "%+v", r)
		assert.Equal(t, r.Complete+r.Errors, r.Streams)
	})
	t.Run("unchecked streams show every kind of fault", func(t *testing.T) {
		r := results[1]
		assert.Assert(t, r.PartialAnswers > 0 && r.ForeignFrames > 0 && r.BilledTwice > 0 && r.Unbilled > 0, "%+v", r)
	})
	t.Run("the same seed gives the same figures", func(t *testing.T) {
		assert.DeepEqual(t, results, runFrames(Options{Seed: 1, Quick: true}))
	})
}

func TestPoisonMeasures(t *testing.T) {
	results := runPoison(Options{Seed: 1, Quick: true})
	t.Run("the same seed gives the same figures", func(t *testing.T) {
		assert.DeepEqual(t, results, runPoison(Options{Seed: 1, Quick: true}))
	})
	for _, r := range results {
		t.Run(r.System+" "+r.Arrival, func(t *testing.T) {
			switch r.System {
			case poisonQuarantine:
				assert.Assert(t, r.CrashesByPoison <= 2, "%+v", r)
			case poisonOneVM, poisonNone:
				assert.Assert(t, r.CrashesByPoison > 2, "%+v", r)
			}
		})
	}
}
