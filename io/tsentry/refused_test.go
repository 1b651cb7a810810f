package tsentry_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsentry"
)

// quarantineGate is a quarantine that refuses every attempt and records the digests.
type quarantineGate struct {
	allowAll
	digests map[turmericshed.Digest]bool
}

func (g quarantineGate) Started(_ time.Time, d turmericshed.Digest, _ turmericshed.ServerID) error {
	g.digests[d] = true
	return turmericshed.NewError(turmericshed.KindQuarantined, "barred")
}

// overloadedRouter refuses every request as overloaded.
type overloadedRouter struct{ fakeRouter }

func (overloadedRouter) Pick(context.Context, time.Time, turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	return turmericshed.BackendServer{}, turmericshed.NewError(turmericshed.KindOverloaded, "full")
}

// prefixRecorder is a router that counts the requests per prefix.
type prefixRecorder struct {
	fakeRouter
	prefixes map[uint64]int
}

func (p prefixRecorder) Pick(ctx context.Context, now time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	p.prefixes[r.Prefix]++
	return p.fakeRouter.Pick(ctx, now, r)
}

// Guards against a body that crashes servers reaching many of them: retries under other idempotency keys
// must have the same routing prefix.
func TestCallsWithSameBodyShareRoutingPrefix(t *testing.T) {
	p := prefixRecorder{prefixes: map[uint64]int{}}
	h := newHarness(t, 100, func(d *tsentry.Deps) { d.Router = p })
	for _, key := range []string{"k1", "k2"} {
		h.do(http.MethodPost, "/services/bookings/jobs", "book", `{"job":1}`, "Idempotency-Key", key)
	}
	h.do(http.MethodPost, "/services/bookings/jobs", "book", `{"job":2}`, "Idempotency-Key", "k3")
	assert.Equal(t, len(p.prefixes), 2)
	for prefix := range p.prefixes {
		assert.Assert(t, prefix != 0, "0 means no affinity")
	}
}

// assertClaimAbandoned sends a claimed call and checks that it is refused with an outcome of not_run and
// that its claim is abandoned, not marked in doubt.
func assertClaimAbandoned(t *testing.T, h *harness) {
	t.Helper()
	w := h.do(http.MethodPost, "/services/bookings/jobs", "book", `{"job":1}`, "Idempotency-Key", "k1")
	assert.Equal(t, w.Header().Get("Turmericshed-Outcome"), string(turmericshed.OutcomeNotRun))
	assert.Equal(t, h.abandoned, 1)
	assert.Equal(t, h.doubted, 0)
}

// Guards against a claim that stays in doubt although its call was refused before it was sent.
func TestClaimAbandonedBeforeSending(t *testing.T) {
	t.Run("a router without capacity releases the claim", func(t *testing.T) {
		assertClaimAbandoned(t, newHarness(t, 100, func(d *tsentry.Deps) { d.Router = overloadedRouter{} }))
	})
	t.Run("a quarantine releases the claim", func(t *testing.T) {
		g := quarantineGate{digests: map[turmericshed.Digest]bool{}}
		assertClaimAbandoned(t, newHarness(t, 100, func(d *tsentry.Deps) { d.Quarantine = g }))
	})
	t.Run("look-ups of different jobs have different digests", func(t *testing.T) {
		g := quarantineGate{digests: map[turmericshed.Digest]bool{}}
		h := newHarness(t, 100, func(d *tsentry.Deps) { d.Quarantine = g })
		h.do(http.MethodGet, "/services/bookings/jobs?job=1", "book", "")
		h.do(http.MethodGet, "/services/bookings/jobs?job=2", "book", "")
		assert.Equal(t, len(g.digests), 2)
	})
}
