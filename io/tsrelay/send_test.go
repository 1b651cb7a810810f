package tsrelay_test

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tstable"
	"turmericshed/io/tsrelay"
	"turmericshed/io/tsrouting"
	"turmericshed/io/tsupstream"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// waitPoint is a step at which a request waits before it is sent to a server.
type waitPoint string

// The wait points, in the order in which a request reaches them.
const (
	forTokens     waitPoint = "tokens"
	forTurn       waitPoint = "its turn at the link"
	forPermit     waitPoint = "a permit"
	forConnection waitPoint = "a connection"
)

// fakeWaits implements the budgets, the link, the server limits and the dialer, which a
// request waits for. Every wait ends at once; at one wait point it calls a hook first.
type fakeWaits struct {
	hookAt waitPoint
	// skip is how often hookAt is passed before the hook is called.
	skip atomic.Int32
	hook func()
	// dialErr is the error of every dial; nil if connections open.
	dialErr error
	// isCongested is true while the link is congested.
	isCongested atomic.Bool
}

// reached calls the hook if the request is at hookAt and was there skip times before.
func (w *fakeWaits) reached(at waitPoint) {
	if at == w.hookAt && w.skip.Add(-1) == -1 {
		w.hook()
	}
}

func (w *fakeWaits) WasCongested(time.Time) bool { return w.isCongested.Load() }
func (w *fakeWaits) IsSaturated() bool           { return false }

func (w *fakeWaits) Await(context.Context, turmericshed.AccountID, int) error {
	w.reached(forTurn)
	return nil
}

func (w *fakeWaits) Reserve(context.Context, turmericshed.Profile, turmericshed.RequestID, turmericshed.Tokens) (turmericshed.Reservation, error) {
	w.reached(forTokens)
	return turmericshed.Reservation{}, nil
}
func (*fakeWaits) Settle(turmericshed.Reservation, turmericshed.Tokens) {}
func (*fakeWaits) Suspend(turmericshed.Reservation)                     {}
func (*fakeWaits) Drain(context.Context) error                          { return nil }
func (*fakeWaits) Delay(int) time.Duration                              { return 0 }

func (*fakeWaits) Answered(turmericshed.BackendServer, time.Time, turmericshed.BackendReply) {}

func (*fakeWaits) Return(turmericshed.BackendServer) {}

func (w *fakeWaits) Acquire(context.Context, turmericshed.BackendServer) bool {
	w.reached(forPermit)
	return true
}
func (*fakeWaits) Closed(time.Time) map[turmericshed.ServerID]time.Time { return nil }

// dial opens a connection and then reaches the wait point forConnection.
func (w *fakeWaits) dial(ctx context.Context, network, addr string) (net.Conn, error) {
	if w.dialErr != nil {
		return nil, w.dialErr
	}
	c, err := tsupstream.Dial(ctx, network, addr)
	w.reached(forConnection)
	return c, err
}

// relayFixture is a relay with two backend servers.
type relayFixture struct {
	t          *testing.T
	waitPoints *fakeWaits
	backends   []*tsmetastore.Backend
	board      *tsboard.Board
	pool       *tsrouting.Pool
	relay      *tsrelay.Relay
	url        string
	// crashes records what the relay reports to its crash watch.
	crashes *crashRecorder
}

const sendTable = `{"version":1,"services":[{"name":"desk","maxConnections":100}],"tenants":[{"name":"stall","apiKeys":["k1"],"prepaid":1000}],"routes":[
 {"name":"find","host":"corner.example","prefix":"/find/","kind":"safe","service":"desk","timeoutMs":4000,"maxAttempts":2}]}`

// newRelayFixture starts the relay and its servers. The test's hook is called at the wait
// point at, after it was passed skip times. configure changes the relay's configuration.
func newRelayFixture(t *testing.T, at waitPoint, skip int32, configure ...func(*tsrelay.Config)) *relayFixture {
	t.Helper()
	s := &relayFixture{t: t, waitPoints: &fakeWaits{hookAt: at}, board: &tsboard.Board{}, crashes: &crashRecorder{}}
	s.waitPoints.skip.Store(skip)
	for i := range 2 {
		b := &tsmetastore.Backend{ID: fmt.Sprint("desk-", i)}
		assert.NilError(t, b.Start())
		t.Cleanup(func() { _ = b.Close() })
		s.backends = append(s.backends, b)
	}
	s.board.Servers.Write(s.serverList("ready"))
	s.pool = tsrouting.NewPool(tsrouting.PoolConfig{FailureDomain: "a", Board: s.board, Limits: s.waitPoints})
	cfg := tsrelay.Config{
		Codec: platform.Codec{}, Router: s.pool, Budgets: s.waitPoints, Link: s.waitPoints, ServerLimits: s.waitPoints, CrashWatch: s.crashes, Log: slog.New(slog.DiscardHandler),
		Upstream:    tsupstream.New(tsupstream.Config{Codec: platform.Codec{}, Dial: s.waitPoints.dial}),
		RetryLimits: tsrelay.RetryLimits{Ratio: 1, Slack: 100, Window: time.Minute}, EntryVMs: func() int { return 1 },
	}
	for _, f := range configure {
		f(&cfg)
	}
	relay := tsrelay.New(cfg)
	table, err := platform.DecodeTable([]byte(sendTable))
	assert.NilError(t, err)
	relay.SetTable(tstable.New(table))
	s.relay = relay
	srv := httptest.NewServer(relay)
	t.Cleanup(srv.Close)
	s.url = srv.URL
	return s
}

// serverList returns the backend servers as decoded from their store entries, in the state.
func (s *relayFixture) serverList(state string) []turmericshed.BackendServer {
	var list []turmericshed.BackendServer
	for _, b := range s.backends {
		d, err := platform.DecodeServer(turmericshed.Item{Key: platform.ServerPrefix + b.ID, Value: b.Entry("desk", "a", state)})
		assert.NilError(s.t, err)
		assert.Equal(s.t, d.Addr, netip.MustParseAddrPort(b.Addr()))
		list = append(list, d)
	}
	return list
}

// makeServersLeave makes both backend servers leave service; how selects the way in which
// the entry VM learns of it.
func (s *relayFixture) makeServersLeave(how string) {
	var list []turmericshed.BackendServer
	switch how {
	case "are draining":
		list = s.serverList("draining")
	case "say so themselves":
		for _, b := range s.backends {
			s.pool.SetLeaving(time.Now(), turmericshed.ServerID(b.ID))
		}
		return
	}
	s.board.Servers.Write(list)
	s.pool.SetServers(time.Now(), list)
}

// post sends a request of a client account with a budget and returns the status.
func (s *relayFixture) post() int {
	req, err := http.NewRequestWithContext(s.t.Context(), http.MethodPost, s.url+"/find/1", strings.NewReader("frame"))
	assert.NilError(s.t, err)
	req.Host = "corner.example"
	for k, v := range map[string]string{"Attempt-Id": "a-1", "Credential": "k1", "Deadline-Remaining": "4000", "Token-Counts": "10,5"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(s.t, err)
	assert.NilError(s.t, resp.Body.Close())
	return resp.StatusCode
}

func (s *relayFixture) assertArrivals(want int) {
	s.t.Helper()
	got := 0
	for _, b := range s.backends {
		got += len(b.Arrivals())
	}
	assert.Equal(s.t, got, want, "requests that reached the servers")
}

// Guards against a request that is sent to a server although the entry VM learned, while
// the request waited, that the server leaves service.
func TestServersThatLeaveWhileARequestWaits(t *testing.T) {
	for _, at := range []waitPoint{forTokens, forTurn, forPermit, forConnection} {
		for _, how := range []string{"are draining", "are removed", "say so themselves"} {
			t.Run(fmt.Sprintf("for %s get no request when they %s", at, how), func(t *testing.T) {
				s := newRelayFixture(t, at, 0)
				s.waitPoints.hook = func() { s.makeServersLeave(how) }
				assert.Equal(t, s.post(), http.StatusServiceUnavailable)
				s.assertArrivals(0)
			})
			if at == forTokens {
				// A request reserves tokens only once, before its first attempt.
				continue
			}
			t.Run(fmt.Sprintf("for %s get no second attempt when they %s", at, how), func(t *testing.T) {
				s := newRelayFixture(t, at, 1)
				for _, b := range s.backends {
					b.SetBehaviour(tsmetastore.BehaveLosingAnswers)
				}
				s.waitPoints.hook = func() { s.makeServersLeave(how) }
				s.post()
				s.assertArrivals(1)
			})
		}
		t.Run(fmt.Sprintf("for %s get the request when they stay", at), func(t *testing.T) {
			s := newRelayFixture(t, at, 0)
			hookCalled := false
			s.waitPoints.hook = func() { hookCalled = true }
			assert.Equal(t, s.post(), http.StatusOK)
			s.assertArrivals(1)
			assert.Assert(t, hookCalled)
		})
	}
}
