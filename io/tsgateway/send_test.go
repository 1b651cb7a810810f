package tsgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
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

// sendRoutes set no latency target, so that no attempt is cancelled for being slow. The
// marker servers have a separate service.
var sendRoutes = []string{
	`{"name":"pay","host":"corner.example","prefix":"/pay/","kind":"unsafe","service":"desk","timeoutMs":4000,"maxAttempts":1}`,
	`{"name":"find","host":"corner.example","prefix":"/find/","kind":"safe","service":"desk","timeoutMs":4000,"maxAttempts":2}`,
	`{"name":"tell","host":"corner.example","prefix":"/tell/","kind":"streaming","service":"pool","timeoutMs":4000,"maxAttempts":2,"resumable":true}`,
	`{"name":"mark","host":"corner.example","prefix":"/mark/","kind":"safe","service":"mark","timeoutMs":2000,"maxAttempts":1}`,
}

// sendRig is a rig whose entry VM blocks while it opens one connection to a server.
type sendRig struct {
	*rig
	markerCount int
	// earlyDials is how many connections to servers open without a wait before the
	// one that blocks.
	earlyDials atomic.Int32
	// waiting receives the server whose connection blocks; closing release opens it.
	waiting chan *tsmetastore.Backend
	release chan struct{}
}

func newSendRig(t *testing.T, earlyDials int32) *sendRig {
	t.Helper()
	r := &sendRig{rig: newRig(t, 1_000_000), waiting: make(chan *tsmetastore.Backend, 1), release: make(chan struct{})}
	r.earlyDials.Store(earlyDials)
	r.engines = append(r.engines, r.startBackend("engine-2", "pool", eventsPerStream))
	r.desks = append(r.desks, r.startBackend("desk-2", "desk", 0))
	r.setTable(1_000_000, sendRoutes...)
	servers := slices.Concat(r.desks, r.engines)
	r.entryVM = r.startWith("vm-2", func(cfg *tsgateway.Config) {
		cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := tsupstream.Dial(ctx, network, addr)
			i := slices.IndexFunc(servers, func(b *tsmetastore.Backend) bool { return b.Addr() == addr })
			// A server that received requests already isn't counted: after a broken
			// connection the entry VM probes it, in parallel with the next attempt.
			if err != nil || i < 0 || len(servers[i].Arrivals()) > 0 || r.earlyDials.Add(-1) != -1 {
				return c, err
			}
			r.waiting <- servers[i]
			select {
			case <-r.release:
				return c, nil
			case <-ctx.Done():
				_ = c.Close()
				return nil, ctx.Err()
			}
		}
	})
	r.awaitStoreUpdates()
	return r
}

// awaitStoreUpdates waits until the entry VM acts on all earlier writes to the store. It
// adds a marker server as the last entry and waits until requests reach it.
func (r *sendRig) awaitStoreUpdates() {
	r.t.Helper()
	r.markerCount++
	marker := r.startBackend(fmt.Sprint("mark-", r.markerCount), "mark", 0)
	r.eventually("the entry VM hears of the last entry", func() bool {
		r.request(http.MethodGet, "/mark/1", "")
		return len(marker.Arrivals()) > 0
	})
}

// putEntry writes a server's entry. A server with many slots is chosen first.
func (r *sendRig) putEntry(b *tsmetastore.Backend, state string, slots int) {
	service := "desk"
	if b.Events > 0 {
		service = "pool"
	}
	entry := strings.Replace(string(b.Entry(service, "a", state)), `"slots":8`, fmt.Sprintf(`"slots":%d`, slots), 1)
	r.store.Put(platform.ServerPrefix+b.ID, []byte(entry))
}

// makeLeave makes a server leave in the given way and waits until the entry VM is
// informed.
func (r *sendRig) makeLeave(b *tsmetastore.Backend, how string) {
	r.t.Helper()
	switch how {
	case "is draining":
		r.putEntry(b, "draining", 8)
		r.awaitStoreUpdates()
	case "is removed":
		r.store.Remove(platform.ServerPrefix + b.ID)
		r.awaitStoreUpdates()
	case "says so itself":
		r.putEntry(b, "ready", 8000)
		r.awaitStoreUpdates()
		b.SetBehaviour(tsmetastore.BehaveLeaving)
		path := "/find/1"
		if b.Events > 0 {
			path = "/tell/1"
		}
		r.eventually("the server tells another request that it leaves", func() bool {
			r.request(http.MethodPost, path, "")
			return len(b.Arrivals()) > 0
		})
	default:
		r.t.Fatalf("no way to leave: %s", how)
	}
}

// requestWhileLeaving sends a request whose server leaves while the entry VM opens the
// connection to it, and returns that server and the answer. It calls before with the
// server before that leaves.
func (r *sendRig) requestWhileLeaving(path, id, how string, before func(chosen *tsmetastore.Backend)) (*tsmetastore.Backend, reply) {
	r.t.Helper()
	answered := make(chan reply, 1)
	go func() { answered <- r.request(http.MethodPost, path, "frame", "Attempt-Id", id) }()
	var chosen *tsmetastore.Backend
	select {
	case chosen = <-r.waiting:
	case got := <-answered:
		r.t.Fatalf("answered before a connection blocked: %d %s", got.status, got.body)
	}
	before(chosen)
	r.makeLeave(chosen, how)
	close(r.release)
	return chosen, <-answered
}

// assertNotSent checks that a server did not receive the request with this id.
func assertNotSent(t *testing.T, b *tsmetastore.Backend, id string) {
	t.Helper()
	for _, h := range b.RequestHeaders() {
		assert.Assert(t, h.Get("Attempt-Id") != id, "sent to %s, which is leaving", b.ID)
	}
}

// Guards against a request to a leaving server: the entry VM learns that the server
// leaves after it chose it and before the connection is open.
func TestOpenedTooLateForALeavingServer(t *testing.T) {
	doNothing := func(*tsmetastore.Backend) {}
	for _, how := range []string{"is draining", "is removed", "says so itself"} {
		t.Run("a request goes elsewhere when its server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 0)
			chosen, got := r.requestWhileLeaving("/pay/1", "late", how, doNothing)
			assertNotSent(t, chosen, "late")
			assertStatus(t, got, http.StatusOK)
		})
		t.Run("a request is refused when the last server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 0)
			for _, d := range r.desks[1:] {
				r.putEntry(d, "draining", 8)
			}
			r.awaitStoreUpdates()
			chosen, got := r.requestWhileLeaving("/pay/1", "late", how, doNothing)
			assertNotSent(t, chosen, "late")
			assertRefused(t, got, http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
		})
		t.Run("a second attempt goes elsewhere when its server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 1)
			setBehaviour(r.desks, tsmetastore.BehaveLosingAnswers)
			chosen, got := r.requestWhileLeaving("/find/1", "late", how, func(*tsmetastore.Backend) { setBehaviour(r.desks, tsmetastore.BehaveNormal) })
			assertNotSent(t, chosen, "late")
			assertStatus(t, got, http.StatusOK)
		})
		t.Run("a stream is resumed elsewhere when the server "+how, func(t *testing.T) {
			t.Parallel()
			r := newSendRig(t, 1)
			setBehaviour(r.engines, tsmetastore.BehaveBreakingStreams)
			chosen, got := r.requestWhileLeaving("/tell/1", "late", how, func(*tsmetastore.Backend) { setBehaviour(r.engines, tsmetastore.BehaveNormal) })
			assertNotSent(t, chosen, "late")
			assertStatus(t, got, http.StatusOK)
			assert.Equal(t, got.body, completeStream(1))
		})
	}
	t.Run("a server that stays gets the request that waited for its connection", func(t *testing.T) {
		t.Parallel()
		r := newSendRig(t, 0)
		answered := make(chan reply, 1)
		go func() { answered <- r.request(http.MethodPost, "/pay/1", "frame", "Attempt-Id", "late") }()
		chosen := <-r.waiting
		r.awaitStoreUpdates()
		time.AfterFunc(100*time.Millisecond, func() { close(r.release) })
		assertStatus(t, <-answered, http.StatusOK)
		one, _ := chosen.Runs("late")
		assert.Equal(t, one, 1)
	})
}

// Guards against a Deadline-Remaining header that ignores the time in which the
// connection to the server opened.
func TestTimeLeftWhenTheConnectionIsOpen(t *testing.T) {
	t.Parallel()
	const (
		// timeout is the caller's time limit, dialTime the part of it in which the
		// connection opens, and slack the allowed excess of the stated time.
		timeout, dialTime, slack = 4 * time.Second, time.Second, 500 * time.Millisecond
	)
	r := newSendRig(t, 0)
	answered := make(chan reply, 1)
	go func() { answered <- r.request(http.MethodPost, "/pay/1", "frame", "Attempt-Id", "late") }()
	chosen := <-r.waiting
	time.Sleep(dialTime)
	close(r.release)
	assertStatus(t, <-answered, http.StatusOK)
	statedMs, err := strconv.Atoi(chosen.RequestHeaders()[0].Get("Deadline-Remaining"))
	assert.NilError(t, err)
	left := time.Duration(statedMs) * time.Millisecond
	assert.Assert(t, left <= timeout-dialTime+slack, "the server was sent %s of %s, although its connection took %s to open", left, timeout, dialTime)
}

// storePartition can cut one entry VM off from the store.
type storePartition struct {
	mu    sync.Mutex
	isCut bool
	conns []net.Conn
}

// dialer returns a dial function that refuses connections to the store while it is cut
// off.
func (s *storePartition) dialer(store string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := tsupstream.Dial(ctx, network, addr)
		if err != nil || addr != store {
			return c, err
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		if s.isCut {
			_ = c.Close()
			return nil, &net.OpError{Op: "dial", Net: network, Err: net.ErrClosed}
		}
		s.conns = append(s.conns, c)
		return c, nil
	}
}

// setCut closes all connections to the store and sets whether new ones are refused.
func (s *storePartition) setCut(isCut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.isCut = isCut
	for _, c := range s.conns {
		_ = c.Close()
	}
	s.conns = nil
}

// assertLastArrival checks that no request whose id starts with idPrefix reached a
// server later than maxDelay after since.
func assertLastArrival(t *testing.T, b *tsmetastore.Backend, idPrefix string, since time.Time, maxDelay time.Duration) {
	t.Helper()
	last, seen := time.Duration(0), b.RequestHeaders()
	for n, at := range b.Arrivals() {
		if strings.HasPrefix(seen[n].Get("Attempt-Id"), idPrefix) {
			last = max(last, at.Sub(since))
		}
	}
	assert.Check(t, last <= maxDelay, "the last request from %s came after %s", idPrefix, last)
}

// Guards against requests to a removed server from entry VMs that lose their relay and
// consider that an outage of the store.
func TestServerThatLeavesWhileAnotherEntryVMIsCutOff(t *testing.T) {
	const (
		// drainTimeout is the drain timeout of the smallest deployments.
		drainTimeout = 2 * time.Second
		entryVMs     = 4
	)
	for cutOff := range entryVMs {
		t.Run(fmt.Sprintf("from entry VM %d", cutOff), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 1_000_000)
			partitions, vms := make([]storePartition, entryVMs), make([]*entryVM, entryVMs)
			for i := range vms {
				vms[i] = r.startWith(fmt.Sprint("vm-", i+2), func(cfg *tsgateway.Config) { cfg.Dial = partitions[i].dialer(r.storeAddr) })
			}
			r.kill()
			// Wait until one entry VM relays the updates to all others.
			time.Sleep(6 * time.Second)
			partitions[cutOff].setCut(true)
			removed := time.Now()
			r.store.Remove(platform.ServerPrefix + r.desks[0].ID)
			time.AfterFunc(time.Second, func() { partitions[cutOff].setCut(false) })
			for time.Since(removed) < 2*drainTimeout {
				for i, vm := range vms {
					target := *r
					target.entryVM = vm
					target.request(http.MethodGet, "/look/1", "", "Attempt-Id", turmericshed.NewID(fmt.Sprintf("vm-%d-", i)))
				}
			}
			for i := range vms {
				if i != cutOff {
					assertLastArrival(t, r.desks[0], fmt.Sprintf("vm-%d-", i), removed, drainTimeout)
				}
			}
		})
	}
}
