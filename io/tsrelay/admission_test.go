package tsrelay_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsrelay"
	"turmericshed/standin/tsmetastore"
)

// fakeAdmission records what the relay reports to its admission control.
type fakeAdmission struct {
	// err is returned by Admit after onAdmit was called; both may be nil.
	err     error
	onAdmit func()
	full    []turmericshed.ServerID

	mu       sync.Mutex
	requests []turmericshed.AdmitRequest
	released int
	servers  []turmericshed.ServerID
	began    int
	results  []turmericshed.AttemptResult
}

func (f *fakeAdmission) Admit(_ context.Context, r turmericshed.AdmitRequest) (func(), error) {
	if f.onAdmit != nil {
		f.onAdmit()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests = append(f.requests, r)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.released++
	}, f.err
}

func (f *fakeAdmission) FullServers(time.Time, turmericshed.AdmitRequest, []turmericshed.ServerID) []turmericshed.ServerID {
	return f.full
}

func (f *fakeAdmission) AttemptStarted(_ time.Time, id turmericshed.ServerID, _ turmericshed.AdmitRequest) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.servers = append(f.servers, id)
}

func (f *fakeAdmission) AttemptBegan(time.Time, turmericshed.AdmitRequest, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.began++
}

func (f *fakeAdmission) AttemptEnded(_ time.Time, _ turmericshed.ServerID, _ turmericshed.AdmitRequest, res turmericshed.AttemptResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.results = append(f.results, res)
}

func (*fakeAdmission) RetryAfter(time.Time, turmericshed.ServerID, turmericshed.AdmitRequest) time.Duration {
	return 1250 * time.Millisecond
}

func withAdmission(a turmericshed.Admission) func(*tsrelay.Config) {
	return func(c *tsrelay.Config) { c.Admission = a }
}

// postAnswer sends a request and returns the answer without its body.
func (s *relayFixture) postAnswer() *http.Response {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.url+"/find/1", strings.NewReader("frame"))
	assert.NilError(s.t, err)
	req.Host = "corner.example"
	for k, v := range map[string]string{"Attempt-Id": "a-1", "Credential": "k1", "Deadline-Remaining": "4000", "Token-Counts": "10,5"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(s.t, err)
	assert.NilError(s.t, resp.Body.Close())
	return resp
}

func TestAdmission(t *testing.T) {
	t.Run("a refused request reaches no server and is told when to retry", func(t *testing.T) {
		f := &fakeAdmission{err: turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindOverloaded, "full"), 700*time.Millisecond)}
		s := newRelayFixture(t, "", 0, withAdmission(f))
		resp := s.postAnswer()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get("Retry-After"), "0.70")
		s.assertArrivals(0)
	})
	t.Run("an admitted request is described, reported and released", func(t *testing.T) {
		f := &fakeAdmission{}
		s := newRelayFixture(t, "", 0, withAdmission(f))
		assert.Equal(t, s.post(), http.StatusOK)
		s.post()
		f.mu.Lock()
		defer f.mu.Unlock()
		r := f.requests[0]
		assert.Equal(t, r.Service, "desk")
		assert.Equal(t, r.Account, turmericshed.AccountID("stall"))
		assert.Equal(t, r.Content, f.requests[1].Content, "a repeat has the same content")
		assert.Equal(t, f.released, 2)
		assert.Equal(t, f.began, 2)
		assert.Assert(t, len(f.results) == 2 && f.results[0].Complete && !f.results[0].Refused)
	})
	t.Run("a server without memory is left out", func(t *testing.T) {
		f := &fakeAdmission{full: []turmericshed.ServerID{"desk-0"}}
		s := newRelayFixture(t, "", 0, withAdmission(f))
		for range 6 {
			assert.Equal(t, s.post(), http.StatusOK)
		}
		assert.Equal(t, len(s.backends[0].Arrivals()), 0)
	})
	t.Run("a server without memory serves if the others take no work", func(t *testing.T) {
		f := &fakeAdmission{full: []turmericshed.ServerID{"desk-0"}}
		s := newRelayFixture(t, "", 0, withAdmission(f))
		s.pool.SetLeaving(time.Now(), "desk-1")
		assert.Equal(t, s.post(), http.StatusOK)
	})
}

// Guards against the fixed advice after refusals of full servers, and against circuit
// breakers that open because servers are full.
func TestRefusalsOfFullServers(t *testing.T) {
	f := &fakeAdmission{}
	s := newRelayFixture(t, "", 0, withAdmission(f))
	for _, b := range s.backends {
		b.SetBehaviour(tsmetastore.BehaveRefusing)
		b.SetLoad("8,4,8")
	}
	for i := range 8 {
		resp := s.postAnswer()
		assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
		assert.Equal(t, resp.Header.Get("Retry-After"), "1.25")
		s.assertArrivals(2 * (i + 1))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, res := range f.results {
		assert.Assert(t, res.Refused && !res.Complete)
	}
}

// Guards against a deployment without admission that behaves differently.
func TestRefusalWithoutAdmission(t *testing.T) {
	s := newRelayFixture(t, "", 0)
	for _, b := range s.backends {
		b.SetBehaviour(tsmetastore.BehaveRefusing)
		b.SetLoad("8,4,8")
	}
	resp := s.postAnswer()
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable)
	assert.Equal(t, resp.Header.Get("Retry-After"), strconv.FormatFloat(0.3, 'f', 2, 64))
}

// Guards against a request that is sent although the entry VM stopped while the admission
// control held it.
func TestStopWhileARequestIsHeld(t *testing.T) {
	f := &fakeAdmission{}
	s := newRelayFixture(t, "", 0, withAdmission(f))
	f.onAdmit = func() { s.relay.Stop(time.Now(), time.Now().Add(time.Second)) }
	assert.Equal(t, s.postAnswer().StatusCode, http.StatusServiceUnavailable)
	s.assertArrivals(0)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Equal(t, f.released, 1)
}
