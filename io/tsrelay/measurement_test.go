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
