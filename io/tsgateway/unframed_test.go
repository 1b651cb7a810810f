package tsgateway_test

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/standin/tsmetastore"
)

// Guards against passing on what had arrived of an answer without a length as the whole
// answer when its server terminated.
func TestUnframedAnswerOfATerminatedServerLooksComplete(t *testing.T) {
	for name, c := range map[string]struct {
		how tsmetastore.Behaviour
		// complete is true if callers must get the whole answer.
		complete bool
	}{
		"whole answers":              {tsmetastore.BehaveUnframed, true},
		"terminated in the body":     {tsmetastore.BehaveCrashingUnframed, false},
		"terminated before its body": {tsmetastore.BehaveCrashingBeforeBody, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			r := newPartCrashRig(t, 1)
			for _, path := range []string{"/quote/1", "/once/1", "/find/1", "/pay/1"} {
				setBehaviour(r.desks, c.how)
				setBehaviour(r.engines, c.how)
				id := turmericshed.NewID("a-")
				var got reply
				want := completeStream(1)
				if path == "/quote/1" || path == "/once/1" {
					got = r.requestGeneration(path, "Attempt-Id", id)
				} else {
					got, want = r.request(http.MethodPost, path, "frame", "Attempt-Id", id), "answer to "+id
				}
				t.Logf("%s: status %d, %q, %v", path, got.status, got.body, got.err)
				if c.complete {
					assertStatus(t, got, http.StatusOK)
				}
				if got.err == nil && got.status == http.StatusOK {
					assert.Equal(t, got.body, want, "%s looks complete", path)
				}
				time.Sleep(2 * crashDownTime)
			}
		})
	}
}
