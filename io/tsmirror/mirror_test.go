package tsmirror_test

import (
	"context"
	"log/slog"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"turmericshed"
	"turmericshed/io/tsmirror"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// view sends a text for each call.
type view chan string

func (v view) Reset(items []turmericshed.Item) {
	words := []string{"reset"}
	for _, i := range items {
		words = append(words, i.Key+"="+string(i.Value))
	}
	v <- strings.Join(words, " ")
}

func (v view) Change(ev turmericshed.WatchEvent) {
	if ev.Deleted {
		v <- "removed " + ev.Key
		return
	}
	v <- ev.Key + "=" + string(ev.Value)
}

func (v view) StoreLost(error) { v <- "lost" }

// assertNext waits for the next call and checks its text.
func (v view) assertNext(t *testing.T, want string) {
	t.Helper()
	select {
	case got := <-v:
		assert.Equal(t, got, want)
	case <-time.After(10 * time.Second):
		t.Fatalf("no call within 10 s, want %q", want)
	}
}

// startMirror runs a mirror of the prefix a/ until the test ends.
func startMirror(t *testing.T) (*tsmetastore.Store, view, *tsmirror.Mirror) {
	t.Helper()
	s := tsmetastore.New()
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	s.Put("a/1", []byte("x"))
	v := make(view, 16)
	m := tsmirror.New(tsmirror.Config{
		Store:  platform.NewStore(netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://")), platform.StoreOptions{}),
		Prefix: "a/", View: v, Log: slog.New(slog.DiscardHandler),
	})
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = m.Serve(ctx) }()
	v.assertNext(t, "reset a/1=x")
	return s, v, m
}

func TestMirror(t *testing.T) {
	t.Run("changes in order", func(t *testing.T) {
		s, v, _ := startMirror(t)
		s.Put("a/2", []byte("y"))
		s.Remove("a/1")
		v.assertNext(t, "a/2=y")
		v.assertNext(t, "removed a/1")
	})
	t.Run("an outage is reported once and followed by a snapshot", func(t *testing.T) {
		s, v, m := startMirror(t)
		s.SetDown(true)
		v.assertNext(t, "lost")
		time.Sleep(700 * time.Millisecond)
		assert.Assert(t, m.Age(time.Now()) > 500*time.Millisecond)
		s.Put("a/1", []byte("z"))
		s.SetDown(false)
		v.assertNext(t, "reset a/1=z")
		// The age falls once the view has taken the snapshot.
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			if age := m.Age(time.Now()); age >= 500*time.Millisecond {
				return poll.Continue("%s old", age)
			}
			return poll.Success()
		}, poll.WithTimeout(400*time.Millisecond), poll.WithDelay(time.Millisecond))
	})
	t.Run("dropped history leads to a snapshot", func(t *testing.T) {
		s, v, _ := startMirror(t)
		s.Put("b/1", nil)
		s.Compact()
		v.assertNext(t, "reset a/1=x")
	})
	t.Run("a watch without changes keeps the view fresh", func(t *testing.T) {
		_, _, m := startMirror(t)
		time.Sleep(3200 * time.Millisecond)
		assert.Assert(t, m.Age(time.Now()) < 2700*time.Millisecond)
	})
}
