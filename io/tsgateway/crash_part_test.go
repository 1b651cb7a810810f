package tsgateway_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/standin/tsmetastore"
)

const (
	deadlyPart = "dead"
	// freeCrashes is the number of crashes after which a part must be known within
	// crashContactTimeout, and maxLateArrivals how many requests with it may reach a
	// server later than that.
	freeCrashes     = 5
	maxLateArrivals = 3
)

// newPartCrashRig returns a crashRig whose engines crash when they begin to write an
// answer to a request with deadlyPart.
func newPartCrashRig(t *testing.T, vms int) *crashRig {
	r := newCrashRig(t, vms)
	for i := range 6 {
		b := &tsmetastore.Backend{ID: fmt.Sprint("frail-", i), Events: eventsPerStream, Pause: 10 * time.Millisecond, CrashPart: deadlyPart, RestartAfter: crashDownTime}
		b.OnRestart = func(b *tsmetastore.Backend) { r.putBackend(b, "pool") }
		assert.NilError(t, b.Start())
		t.Cleanup(func() { _ = b.Close() })
		r.putBackend(b, "pool")
		r.engines = append(r.engines, b)
	}
	for _, e := range r.engines[:2] {
		r.removeBackend(e)
	}
	r.engines = r.engines[2:]
	time.Sleep(time.Second)
	return r
}

// generateAny sends a generation request with the given shared parts, and a last part and
// a body of its own, to a random entry VM.
func (r *crashRig) generateAny(path string, parts ...string) reply {
	target := *r.rig
	target.entryVM = r.vms[rand.IntN(len(r.vms))]
	own := turmericshed.NewID("")
	prefix := strings.Join(append(parts, own), ":10,") + ":10"
	return target.request(http.MethodPost, path, "prompt "+own, "Model", "m", "Token-Counts", fmt.Sprintf("%d,%d", promptTokens, outputTokens), "Prompt-Prefix", prefix)
}

// assertPartBlocked checks that at most maxLateArrivals requests with deadlyPart reached
// servers later than crashContactTimeout after the fifth crash.
func (r *crashRig) assertPartBlocked() {
	r.t.Helper()
	var crashes, arrivals []time.Time
	for _, e := range r.engines {
		crashes, arrivals = append(crashes, e.CrashTimes()...), append(arrivals, e.CrashPartArrivals()...)
	}
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, at := range arrivals {
		if len(crashes) >= freeCrashes && at.After(crashes[freeCrashes-1].Add(crashContactTimeout)) {
			late++
		}
	}
	r.t.Logf("%d servers crashed, %d requests with the part arrived, %d of them late", len(crashes), len(arrivals), late)
	assert.Assert(r.t, len(crashes) >= 2, "%d servers crashed, want at least 2", len(crashes))
	assert.Assert(r.t, late <= maxLateArrivals, "%d requests with the part reached servers later than %s after the fifth crash", late, crashContactTimeout)
}

// repeat calls f concurrently once per interval, for a time.
func repeat(d, interval time.Duration, f func()) {
	var calls sync.WaitGroup
	for began := time.Now(); time.Since(began) < d; time.Sleep(interval) {
		calls.Go(f)
	}
	calls.Wait()
}

// Guards against a prompt part that crashes one server after another although no two of
// its requests are alike, and against refusing requests that share other parts with them.
func TestPromptPartCrashesOneServerAfterAnother(t *testing.T) {
	for _, path := range []string{"/quote/1", "/once/1"} {
		t.Run("at "+path, func(t *testing.T) {
			t.Parallel()
			r := newPartCrashRig(t, 3)
			var refused, sound, served atomic.Int32
			var requests sync.WaitGroup
			requests.Go(func() {
				repeat(8*time.Second, 30*time.Millisecond, func() {
					got := r.generateAny(path, fmt.Sprint("f", rand.IntN(3)))
					if strings.Contains(got.body, turmericshed.KindQuarantined.String()) {
						refused.Add(1)
					}
					sound.Add(1)
					if got.err == nil && got.status == http.StatusOK {
						served.Add(1)
					}
				})
			})
			repeat(8*time.Second, 150*time.Millisecond, func() { r.generateAny(path, "f0", deadlyPart) })
			requests.Wait()
			r.assertPartBlocked()
			t.Logf("%d of %d sound requests were served", served.Load(), sound.Load())
			assert.Equal(t, refused.Load(), int32(0), "sound requests were refused for their parts")
			assert.Assert(t, served.Load() >= sound.Load()/2, "%d of %d sound requests were served", served.Load(), sound.Load())
		})
	}
}

// Guards against a second server that crashes under the same request at once: the first
// one terminated when it had begun to answer.
func TestRequestIsSentOnAfterItsServerCrashed(t *testing.T) {
	// Two of them see for the third that the server refuses connections.
	r := newPartCrashRig(t, 3)
	got := r.generateAny("/quote/1", deadlyPart)
	assertStatus(t, got, http.StatusBadGateway)
	arrivals := 0
	for _, e := range r.engines {
		arrivals += len(e.CrashPartArrivals())
	}
	assert.Equal(t, arrivals, 1)
}
