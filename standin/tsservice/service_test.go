package tsservice_test

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsbackend"
	"turmericshed/standin/tsnode"
	"turmericshed/standin/tsservice"
)

// serve runs a service on a loopback port, which restarts after a crash if
// restartAfter is positive, and returns it with a client.
func serve(t *testing.T, restartAfter time.Duration) (*tsservice.Service, *tsbackend.Service) {
	t.Helper()
	s, err := tsservice.Listen(tsservice.Options{Node: tsnode.Options{
		Server:       turmericshed.BackendServer{ID: "b1", Addr: netip.MustParseAddrPort("127.0.0.1:0"), Service: "booking"},
		RestartAfter: restartAfter,
	}})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = s.Serve(ctx)
	}()
	c := tsbackend.NewService(tsbackend.Options{})
	t.Cleanup(func() { c.Close(); cancel(); <-done })
	return s, c
}

// booking returns a call with the given idempotency key.
func booking(key string) turmericshed.ServiceRequest {
	return turmericshed.ServiceRequest{Method: http.MethodPost, Path: "/bookings", ContentType: "application/json", Body: []byte(`{"frame":"` + key + `"}`), Key: key}
}

func assertKind(t *testing.T, err error, k turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), k, "%v", err)
}

// assertJob checks that a is the answer to r.
func assertJob(t *testing.T, a turmericshed.Answer, err error, r turmericshed.ServiceRequest) {
	t.Helper()
	assert.NilError(t, err)
	var job tsservice.Job
	assert.NilError(t, json.Unmarshal(a.Body, &job))
	assert.Equal(t, a.Status, http.StatusCreated)
	assert.Equal(t, job.Key, r.Key)
	assert.Equal(t, job.Digest, tsservice.DigestOf(r.Body))
}

func TestCalls(t *testing.T) {
	s, c := serve(t, 0)
	t.Run("a call runs each time it is sent", func(t *testing.T) {
		r := booking("k1")
		for range 2 {
			a, err := c.Do(t.Context(), s.Server(), r)
			assertJob(t, a, err, r)
		}
		assert.Equal(t, s.Books().Runs()["k1"], 2)
	})
	t.Run("a call is found by its key", func(t *testing.T) {
		a, err := c.Lookup(t.Context(), s.Server(), "k1")
		assertJob(t, a, err, booking("k1"))
		_, err = c.Lookup(t.Context(), s.Server(), "../k/none")
		assertKind(t, err, turmericshed.KindNotFound)
	})
	t.Run("an answer lost after the run is unknown and ran once", func(t *testing.T) {
		s.ChangeFaults(func(f *tsservice.Faults) { f.LoseAnswers = 1 })
		_, err := c.Do(t.Context(), s.Server(), booking("k2"))
		assertKind(t, err, turmericshed.KindCallUnknown)
		assert.Equal(t, s.Books().Runs()["k2"], 1)
	})
	t.Run("a refused call did not run", func(t *testing.T) {
		s.ChangeFaults(func(f *tsservice.Faults) { f.Refuse = true })
		_, err := c.Do(t.Context(), s.Server(), booking("k3"))
		assertKind(t, err, turmericshed.KindBackendRefused)
		assert.Assert(t, !tsbackend.IsLeaving(err))
		s.ChangeFaults(func(f *tsservice.Faults) { f.Refuse = false })
		s.Leave(t.Context())
		_, err = c.Do(t.Context(), s.Server(), booking("k3"))
		assert.Assert(t, tsbackend.IsLeaving(err))
		assert.Equal(t, s.Books().Runs()["k3"], 0)
	})
	t.Run("a look-up may be repeated", func(t *testing.T) {
		r := turmericshed.ServiceRequest{Method: http.MethodGet, Path: "/stock/canopy?x=1"}
		a, err := c.Do(t.Context(), s.Server(), r)
		assert.Assert(t, err == nil && a.Status == http.StatusOK)
	})
}

func TestCrashes(t *testing.T) {
	t.Run("a crash after the run", func(t *testing.T) {
		s, c := serve(t, time.Millisecond)
		before := s.Server()
		s.ChangeFaults(func(f *tsservice.Faults) { f.CrashAfter = 1 })
		_, err := c.Do(t.Context(), before, booking("k1"))
		assertKind(t, err, turmericshed.KindCallUnknown)
		for s.Server().ID == before.ID {
			time.Sleep(time.Millisecond)
		}
		a, err := c.Lookup(t.Context(), s.Server(), "k1")
		assertJob(t, a, err, booking("k1"))
		assert.Equal(t, s.Books().Runs()["k1"], 1)
	})
	t.Run("a server that is gone", func(t *testing.T) {
		s, c := serve(t, 0)
		s.Crash()
		var err error
		for range 1000 {
			if _, err = c.Do(t.Context(), s.Server(), booking("k1")); turmericshed.KindOf(err) == turmericshed.KindNoBackend {
				break
			}
			time.Sleep(time.Millisecond)
		}
		assertKind(t, err, turmericshed.KindNoBackend)
	})
}

// TestNoRepeat guards against calls that are sent twice: net/http retries a
// request with an idempotency key if the server closes a reused connection after
// it has read the request's headers.
func TestNoRepeat(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	calls := make(chan string, 16)
	h := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		calls <- r.Method
		if r.Method == http.MethodPost {
			conn, _, err := http.NewResponseController(w).Hijack()
			if err == nil {
				_ = conn.Close()
			}
		}
	})}
	go func() { _ = h.Serve(ln) }()
	defer func() { _ = h.Close() }()
	s := turmericshed.BackendServer{ID: "b1", Addr: netip.MustParseAddrPort(ln.Addr().String())}
	c := tsbackend.NewService(tsbackend.Options{})
	_, err = c.Do(t.Context(), s, turmericshed.ServiceRequest{Method: http.MethodGet, Path: "/"})
	assert.NilError(t, err)
	for _, body := range []string{"{}", ""} {
		r := booking("k1")
		r.Body = []byte(body)
		_, err = c.Do(t.Context(), s, r)
		assertKind(t, err, turmericshed.KindCallUnknown)
		_, err = c.Do(t.Context(), s, turmericshed.ServiceRequest{Method: http.MethodGet, Path: "/"})
		assert.NilError(t, err)
	}
	_ = h.Close()
	close(calls)
	posts := 0
	for m := range calls {
		if m == http.MethodPost {
			posts++
		}
	}
	assert.Equal(t, posts, 2)
}
