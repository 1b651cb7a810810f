package tsrelay

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// Guards against a time to first output that ends with the headers of a stream, and
// against bytes that are missing from the count.
func TestMeasurement(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := measurement{began: time.Now()}
		time.Sleep(10 * time.Millisecond)
		m.record(40, false)
		time.Sleep(90 * time.Millisecond)
		m.record(60, true)
		time.Sleep(time.Second)
		m.record(100, true)
		var res turmericshed.DispatchResult
		m.addTo(&res, 5000)
		assert.Equal(t, res.FirstOutput, 100*time.Millisecond)
		assert.Equal(t, res.RequestBytes, int64(5000))
		assert.Equal(t, res.AnswerBytes, int64(200))
	})
}

func TestPrefixTokens(t *testing.T) {
	tokens := func(parts ...turmericshed.Tokens) turmericshed.Tokens {
		q := &request{}
		for _, n := range parts {
			q.inbound.Parts = append(q.inbound.Parts, turmericshed.PromptPart{ID: "x", Tokens: n})
		}
		return q.prefixTokens()
	}
	assert.Equal(t, tokens(), turmericshed.Tokens(0))
	assert.Equal(t, tokens(17), turmericshed.Tokens(17))
	assert.Equal(t, tokens(13_000, 300, 3_720), turmericshed.Tokens(13_300))
}
