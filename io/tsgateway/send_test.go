package tsgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsgateway"
	"turmericshed/io/tsupstream"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// sendRoutes have no objective, so that no attempt ends by impatience, and marks
// have a service of their own.
var sendRoutes = []string{
	`{"name":"pay","host":"corner.example","prefix":"/pay/","kind":"unsafe","service":"desk","timeoutMs":4000,"maxAttempts":1}`,
	`{"name":"find","host":"corner.example","prefix":"/find/","kind":"safe","service":"desk","timeoutMs":4000,"maxAttempts":2}`,
	`{"name":"tell","host":"corner.example","prefix":"/tell/","kind":"streaming","service":"pool","timeoutMs":4000,"maxAttempts":2,"resumable":true}`,
	`{"name":"mark","host":"corner.example","prefix":"/mark/","kind":"safe","service":"mark","timeoutMs":2000,"maxAttempts":1}`,
}

// sendRig is a rig whose entry VM waits for one connection to a server.
type sendRig struct {
	*rig
	marks int
	// early is how many connections to servers open at once before the one that
	// waits.
	early atomic.Int32
	// opening is told of the server whose connection waits; release ends that.
	opening chan *tsmetastore.Backend
	release chan struct{}
}

func newSendRig(t *testing.T, early int32) *sendRig {
	t.Helper()
	r := &sendRig{rig: newRig(t, 1_000_000), opening: make(chan *tsmetastore.Backend, 1), release: make(chan struct{})}
	r.early.Store(early)
	r.engines = append(r.engines, r.backend("engine-2", "pool", events))
	r.desks = append(r.desks, r.backend("desk-2", "desk", 0))
	r.setTable(1_000_000, sendRoutes...)
	servers := slices.Concat(r.desks, r.engines)
	r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
		cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := tsupstream.Dial(ctx, network, addr)
			i := slices.IndexFunc(servers, func(b *tsmetastore.Backend) bool { return b.Addr() == addr })
			if err != nil || i < 0 || r.early.Add(-1) != -1 {
				return c, err
			}
			r.opening <- servers[i]
			select {
			case <-r.release:
				return c, nil
			case <-ctx.Done():
				_ = c.Close()
				return nil, ctx.Err()
			}
		}
	})
	r.heard()
	return r
}

// heard waits until the entry VM acts on all that was written to the store: it
// sends to a server whose entry is the last one.
func (r *sendRig) heard() {
	r.t.Helper()
	r.marks++
	mark := r.backend(fmt.Sprint("mark-", r.marks), "mark", 0)
	r.eventually("the entry VM hears of the last entry", func() bool {
		r.ask(http.MethodGet, "/mark/1", "")
		return len(mark.Arrivals()) > 0
	})
}

// put writes a server's entry, or one with many slots, which is chosen first.
func (r *sendRig) put(b *tsmetastore.Backend, state string, slots int) {
	service := "desk"
	if b.Events > 0 {
		service = "pool"
	}
	entry := strings.Replace(string(b.Entry(service, "a", state)), `"slots":8`, fmt.Sprintf(`"slots":%d`, slots), 1)
	r.store.Put(platform.ServerPrefix+b.ID, []byte(entry))
}

// leave lets the entry VM hear in one of the ways that a server leaves.
func (r *sendRig) leave(b *tsmetastore.Backend, how string) {
	r.t.Helper()
	switch how {
	case "is draining":
		r.put(b, "draining", 8)
		r.heard()
	case "is removed":
		r.store.Remove(platform.ServerPrefix + b.ID)
		r.heard()
	case "says so itself":
		r.put(b, "ready", 8000)
		r.heard()
		b.Behave(tsmetastore.BehaveLeaving)
		path := "/find/1"
		if b.Events > 0 {
			path = "/tell/1"
		}
		r.eventually("the server tells another request that it leaves", func() bool {
			r.ask(http.MethodPost, path, "")
			return len(b.Arrivals()) > 0
		})
	default:
		r.t.Fatalf("no way to leave: %s", how)
	}
}

// askWhileLeaving sends a request whose server leaves while the connection to
// it opens, and returns that server.
func (r *sendRig) askWhileLeaving(path, id, how string, before func(chosen *tsmetastore.Backend)) (*tsmetastore.Backend, reply) {
	r.t.Helper()
	answered := make(chan reply, 1)
	go func() { answered <- r.ask(http.MethodPost, path, "frame", "Attempt-Id", id) }()
	var chosen *tsmetastore.Backend
	select {
	case chosen = <-r.opening:
	case got := <-answered:
		r.t.Fatalf("answered before a connection waited: %d %s", got.status, got.body)
	}
	before(chosen)
	r.leave(chosen, how)
	close(r.release)
	return chosen, <-answered
}

func assertNotSent(t *testing.T, b *tsmetastore.Backend, id string) {
	t.Helper()
	for _, h := range b.Seen() {
		assert.Assert(t, h.Get("Attempt-Id") != id, "sent to %s, which leaves", b.ID)
	}
}

// A request was sent to a server of which the entry VM had heard, after the
// choice and before the connection was open, that it leaves.
func TestOpenedTooLateForALeavingServer(t *testing.T) {
	nothing := func(*tsmetastore.Backend) {}
	for _, how := range []string{"is draining", "is removed", "says so itself"} {
		t.Run("a request goes elsewhere when its server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 0)
			chosen, got := r.askWhileLeaving("/pay/1", "late", how, nothing)
			assertNotSent(t, chosen, "late")
			assertStatus(t, got, http.StatusOK)
		})
		t.Run("one is refused when the last server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 0)
			for _, d := range r.desks[1:] {
				r.put(d, "draining", 8)
			}
			r.heard()
			chosen, got := r.askWhileLeaving("/pay/1", "late", how, nothing)
			assertNotSent(t, chosen, "late")
			assertRefused(t, got, http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
		})
		t.Run("a second attempt goes elsewhere when its server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 1)
			behave(r.desks, tsmetastore.BehaveLosing)
			chosen, got := r.askWhileLeaving("/find/1", "late", how, func(*tsmetastore.Backend) { behave(r.desks, tsmetastore.BehaveWell) })
			assertNotSent(t, chosen, "late")
			assertStatus(t, got, http.StatusOK)
		})
		t.Run("a stream is resumed elsewhere when the server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 1)
			behave(r.engines, tsmetastore.BehaveBreaking)
			chosen, got := r.askWhileLeaving("/tell/1", "late", how, func(*tsmetastore.Backend) { behave(r.engines, tsmetastore.BehaveWell) })
			assertNotSent(t, chosen, "late")
			assertStatus(t, got, http.StatusOK)
			assert.Equal(t, got.body, wholeStream(1))
		})
	}
	t.Run("a server that stays gets what waited for its connection", func(t *testing.T) {
		t.Parallel()
		r := newSendRig(t, 0)
		answered := make(chan reply, 1)
		go func() { answered <- r.ask(http.MethodPost, "/pay/1", "frame", "Attempt-Id", "late") }()
		chosen := <-r.opening
		r.heard()
		time.AfterFunc(100*time.Millisecond, func() { close(r.release) })
		assertStatus(t, <-answered, http.StatusOK)
		one, _ := chosen.Runs("late")
		assert.Equal(t, one, 1)
	})
}
