package tsplatform_test

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	wire "turmericshed/io/tsplatform"
	"turmericshed/standin/tsplatform"
)

// serve runs a platform on a loopback port and returns its store, a client and
// its address.
func serve(t *testing.T) (*tsplatform.Store, *wire.Client, netip.AddrPort) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	s, d := tsplatform.NewStore(tsplatform.Options{}), tsplatform.NewDirectory(tsplatform.DirectoryOptions{})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = tsplatform.NewServer(s, d).Serve(ctx, ln)
	}()
	addr := netip.MustParseAddrPort(ln.Addr().String())
	c, err := wire.NewClient(addr, wire.Options{Caller: "vm-1"})
	assert.NilError(t, err)
	t.Cleanup(func() { c.Close(); cancel(); <-done })
	return s, c, addr
}

func TestClient(t *testing.T) {
	t.Run("calls", func(t *testing.T) {
		_, c, _ := serve(t)
		v := put(t, c, "p/a", "1", 0)
		assertValue(t, c, "p/a", "1")
		assertValue(t, c, "p/none", "")
		items, err := c.List(t.Context(), "p/", "", 10)
		assert.Assert(t, err == nil && len(items) == 1 && items[0].Version == v)
		_, err = c.CompareAndSwap(t.Context(), turmericshed.Write{Key: "p/a"})
		assertKind(t, err, turmericshed.KindConflict)
		id, err := c.Grant(t.Context(), time.Minute)
		assert.NilError(t, err)
		assert.NilError(t, c.KeepAlive(t.Context(), id))
		assertKind(t, c.KeepAlive(t.Context(), "other"), turmericshed.KindNotFound)
	})
	t.Run("a watch delivers and ends with the platform", func(t *testing.T) {
		s, c, _ := serve(t)
		w, err := c.Watch(t.Context(), "p/", 0)
		assert.NilError(t, err)
		defer func() { _ = w.Close() }()
		v := put(t, c, "p/a", "1", 0)
		ev, err := w.Next(t.Context())
		assert.NilError(t, err)
		assert.DeepEqual(t, ev, turmericshed.WatchEvent{Item: turmericshed.Item{Key: "p/a", Value: []byte("1"), Version: v}})
		s.SetFaults(tsplatform.Faults{Outage: true})
		_, err = w.Next(t.Context())
		assertKind(t, err, turmericshed.KindStoreUnavailable)
	})
	t.Run("the list of VMs", func(t *testing.T) {
		_, c, _ := serve(t)
		e := turmericshed.EntryVM{Name: "vm", Incarnation: "i/1", CallerAddr: netip.MustParseAddrPort("127.0.0.1:1")}
		assert.NilError(t, c.AnnounceEntry(t.Context(), e))
		assert.NilError(t, c.AnnounceServer(t.Context(), turmericshed.BackendServer{ID: "e1"}))
		assert.NilError(t, c.LeaveServer(t.Context(), "e1"))
		snap, err := c.Snapshot(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, len(snap.Servers) == 1 && snap.Servers[0].Leaving && snap.EntryVMs[0] == e)
		assert.NilError(t, c.WithdrawEntry(t.Context(), "i/1"))
		snap, err = c.Snapshot(t.Context())
		assert.Assert(t, err == nil && len(snap.EntryVMs) == 0)
	})
}

func TestClientAmbiguity(t *testing.T) {
	write := turmericshed.Write{Key: "a", Value: []byte("1")}
	t.Run("a lost answer is unknown and not repeated", func(t *testing.T) {
		s, c, _ := serve(t)
		assertValue(t, c, "a", "") // opens the connection that the write reuses
		s.SetFaults(tsplatform.Faults{LoseAnswers: 1})
		_, err := c.CompareAndSwap(t.Context(), write)
		assertKind(t, err, turmericshed.KindStoreUnknown)
		assert.Equal(t, s.Counts().Writes, int64(1))
		assertValue(t, c, "a", "1")
	})
	t.Run("an outage that answers is certain", func(t *testing.T) {
		s, c, _ := serve(t)
		s.SetFaults(tsplatform.Faults{Outage: true})
		_, err := c.CompareAndSwap(t.Context(), write)
		assertKind(t, err, turmericshed.KindStoreUnavailable)
	})
	t.Run("no connection is certain", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		addr := netip.MustParseAddrPort(ln.Addr().String())
		assert.NilError(t, ln.Close())
		c, err := wire.NewClient(addr, wire.Options{})
		assert.NilError(t, err)
		_, err = c.CompareAndSwap(t.Context(), write)
		assertKind(t, err, turmericshed.KindStoreUnavailable)
	})
	t.Run("a connection that closes without an answer is unknown", func(t *testing.T) {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		defer func() { _ = ln.Close() }()
		go func() {
			for {
				conn, err := ln.Accept()
				if err != nil {
					return
				}
				_ = conn.Close()
			}
		}()
		c, err := wire.NewClient(netip.MustParseAddrPort(ln.Addr().String()), wire.Options{})
		assert.NilError(t, err)
		_, err = c.CompareAndSwap(t.Context(), write)
		assertKind(t, err, turmericshed.KindStoreUnknown)
		_, err = c.Get(t.Context(), "a")
		assertKind(t, err, turmericshed.KindStoreUnavailable)
	})
}

func FuzzDecodeWatchLine(f *testing.F) {
	f.Add([]byte(`{"key":"a","value":"AQ==","version":3,"deleted":true}`))
	f.Add([]byte(`{}`))
	f.Fuzz(func(t *testing.T, line []byte) {
		ev, ok, err := wire.DecodeWatchLine(line)
		if err != nil {
			assertKind(t, err, turmericshed.KindStoreUnavailable)
			return
		}
		assert.Equal(t, ok, ev.Key != "" || ev.Reset)
	})
}
