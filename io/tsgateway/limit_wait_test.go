package tsgateway_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsgateway"
	"turmericshed/io/tsupstream"
	"turmericshed/standin/tsmetastore"
)

const (
	// slowPeer is how long a byte takes from one entry VM to another.
	slowPeer = 140 * time.Millisecond
	// passTime bounds the wait of a request for permits, at all servers together.
	passTime = 600 * time.Millisecond
)

// slowConn sends late.
type slowConn struct {
	net.Conn
	by time.Duration
}

// Write waits.
func (c slowConn) Write(p []byte) (int, error) {
	time.Sleep(c.by)
	return c.Conn.Write(p)
}

// newSlowPeers returns a rig of entry VMs whose calls to each other are slow,
// before limited desks.
func newSlowPeers(t *testing.T, vms, desks int) (*rig, []*entryVM) {
	t.Helper()
	r := newRig(t, 1_000_000)
	r.kill()
	for i := range desks {
		r.desks = append(r.desks, r.backend(fmt.Sprint("limited-", i), "desk", 0))
	}
	known := map[string]bool{r.url: true}
	for _, d := range append(append([]*tsmetastore.Backend{}, r.desks...), r.engines...) {
		known[d.Addr()] = true
	}
	var all []*entryVM
	for i := range vms {
		all = append(all, r.startWith(fmt.Sprint("vm-", i), func(cfg *tsgateway.Config) {
			cfg.Dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
				c, err := tsupstream.Dial(ctx, network, addr)
				if err != nil || known[addr] {
					return c, err
				}
				return slowConn{c, slowPeer}, nil
			}
		}))
	}
	r.entryVM = all[0]
	// All list the others by then.
	time.Sleep(2 * time.Second)
	for _, d := range r.desks {
		d.SetLimit("0.5")
	}
	return r, all
}

// A request waited for permits of one limited server after another, for as long
// as there were servers, also when its caller had left.
func TestLimitedServersHoldNobodyUp(t *testing.T) {
	r, vms := newSlowPeers(t, 12, 20)
	longest := time.Duration(0)
	var mu sync.Mutex
	var asked sync.WaitGroup
	for began := time.Now(); time.Since(began) < 6*time.Second; time.Sleep(15 * time.Millisecond) {
		asked.Go(func() {
			at := *r
			at.entryVM = vms[int(time.Since(began).Milliseconds())%len(vms)]
			began := time.Now()
			at.ask(http.MethodGet, "/look/1", "")
			mu.Lock()
			defer mu.Unlock()
			longest = max(longest, time.Since(began))
		})
	}
	asked.Wait()
	assert.Assert(t, longest < passTime, "a request waited %s", longest)
}
