package tsintake_test

import (
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	core "turmericshed/core/tsintake"
	"turmericshed/io/tsintake"
)

// smallMachine has a budget of 256 KiB.
const smallMachine = 1 << 20

func newIntake() *tsintake.Intake { return tsintake.New(tsintake.Config{MemoryBytes: smallMachine}) }

// onlyReader hides the other methods of a reader, and returns its end with the last bytes or after
// them.
type onlyReader struct {
	r          io.Reader
	endsAtOnce bool
}

func (o onlyReader) Read(p []byte) (int, error) {
	n, err := o.r.Read(p)
	if o.endsAtOnce && err == nil {
		if l, ok := o.r.(interface{ Len() int }); ok && l.Len() == 0 {
			err = io.EOF
		}
	}
	return n, err
}

// Guards against losing or adding bytes where a body meets the edges of blocks.
func TestReadAllReturnsTheWholeBody(t *testing.T) {
	for _, size := range []int{0, 1, 4095, 4096, 4097, 12288, 100_000, 128 << 10, 128<<10 + 1, 200_000} {
		data := make([]byte, size)
		for i := range data {
			data[i] = byte(i % 251)
		}
		for _, announced := range []int64{int64(size), -1} {
			for _, endsAtOnce := range []bool{false, true} {
				b := newIntake().NewBody(func() {})
				parts, err := b.ReadAll(onlyReader{bytes.NewReader(data), endsAtOnce}, announced)
				assert.NilError(t, err, "%d bytes, announced %d", size, announced)
				assert.Assert(t, bytes.Equal(bytes.Join(parts, nil), data), "%d bytes, announced %d", size, announced)
				b.Release()
			}
		}
	}
}

// Guards against reading a body before its memory is reserved.
func TestReadAllReservesFirst(t *testing.T) {
	in := newIntake()
	first := in.NewBody(func() {})
	assert.NilError(t, first.Reserve(150_000))
	r := strings.NewReader(strings.Repeat("x", 200_000))
	_, err := in.NewBody(func() {}).ReadAll(r, 200_000)
	assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOverloaded)
	assert.Equal(t, r.Len(), 200_000, "nothing is read")
	assert.Assert(t, turmericshed.RetryAfterOf(err) > 0)
	second := in.NewBody(func() {})
	_, err = second.ReadAll(r, -1)
	assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOverloaded)
	assert.Assert(t, r.Len() > 50_000, "no more is read than is reserved: %d bytes left", r.Len())
	second.Release()
	first.Release()
	_, err = in.NewBody(func() {}).ReadAll(strings.NewReader(strings.Repeat("x", 200_000)), 200_000)
	assert.NilError(t, err)
}

// stuckReader returns data and then blocks until it is interrupted.
type stuckReader struct {
	data      io.Reader
	interrupt chan struct{}
}

func (s stuckReader) Read(p []byte) (int, error) {
	if n, err := s.data.Read(p); err == nil {
		return n, nil
	}
	<-s.interrupt
	return 0, os.ErrDeadlineExceeded
}

// Guards against a body that stops just short of its end and keeps its memory while others need
// it.
func TestStalledBodyIsInterruptedForOthers(t *testing.T) {
	in := newIntake()
	s := stuckReader{strings.NewReader(strings.Repeat("x", 199_990)), make(chan struct{})}
	stalled := in.NewBody(func() { close(s.interrupt) })
	ended := make(chan error)
	go func() {
		_, err := stalled.ReadAll(s, 200_000)
		ended <- err
	}()
	time.Sleep(1200 * time.Millisecond)
	_, err := in.NewBody(func() {}).ReadAll(strings.NewReader(strings.Repeat("x", 200_000)), 200_000)
	assert.NilError(t, err)
	assert.Equal(t, turmericshed.KindOf(<-ended), turmericshed.KindOverloaded)
	stalled.Release()
}

// Guards against a stop that waits for bodies that never end, and against ending complete ones.
func TestStopEndsBodiesThatAreRead(t *testing.T) {
	in := newIntake()
	s := stuckReader{strings.NewReader("first bytes"), make(chan struct{})}
	ended := make(chan error)
	stuck := in.NewBody(func() { close(s.interrupt) })
	go func() {
		_, err := stuck.ReadAll(s, 1000)
		ended <- err
	}()
	_, err := in.NewBody(func() { t.Error("a complete body was ended") }).ReadAll(strings.NewReader("body"), 4)
	assert.NilError(t, err)
	stopping := errors.New("stopping")
	in.StopReading(stopping)
	assert.ErrorIs(t, <-ended, stopping)
	_, err = in.NewBody(func() {}).ReadAll(strings.NewReader("body"), 4)
	assert.ErrorIs(t, err, stopping)
}

// Guards against passing on a body that ends early, or is longer than announced, as whole.
func TestReadAllReportsOtherErrors(t *testing.T) {
	broken := errors.New("broken")
	_, err := newIntake().NewBody(func() {}).ReadAll(io.MultiReader(strings.NewReader("x"), failingReader{broken}), -1)
	assert.ErrorIs(t, err, broken)
	_, err = newIntake().NewBody(func() {}).ReadAll(strings.NewReader("xyz"), 2)
	assert.ErrorIs(t, err, io.ErrShortBuffer)
}

type failingReader struct{ err error }

func (e failingReader) Read([]byte) (int, error) { return 0, e.err }

// Guards against bounds without an intake.
func TestNilIntakeSetsNoBounds(t *testing.T) {
	var in *tsintake.Intake
	b := in.NewBody(func() {})
	parts, err := b.ReadAll(strings.NewReader("body"), -1)
	assert.NilError(t, err)
	assert.Equal(t, string(bytes.Join(parts, nil)), "body")
	b.Release()
	in.CountTooLarge()
}

// Guards against connections that stay open beyond the limit, and against closing those with a
// running request.
func TestListenerClosesConnectionsOverTheLimit(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	in := tsintake.New(tsintake.Config{Descriptors: 240})
	limited := in.Listener(ln)
	var mu sync.Mutex
	var accepted []net.Conn
	go func() {
		for {
			c, err := limited.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			if len(accepted) == 0 {
				tsintake.SetState(c, core.Running)
			}
			accepted = append(accepted, c)
			mu.Unlock()
		}
	}()
	t.Cleanup(func() { _ = limited.Close() })
	var callers []net.Conn
	for i := range 40 {
		c, err := net.Dial("tcp", ln.Addr().String())
		assert.NilError(t, err)
		t.Cleanup(func() { _ = c.Close() })
		callers = append(callers, c)
		for n := 0; n <= i; time.Sleep(time.Millisecond) {
			mu.Lock()
			n = len(accepted)
			mu.Unlock()
		}
	}
	open := 0
	for i, c := range callers {
		_ = c.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
		_, err := c.Read(make([]byte, 1))
		if errors.Is(err, os.ErrDeadlineExceeded) {
			open++
			continue
		}
		assert.Assert(t, i != 0, "a connection with a running request was closed: %v", err)
	}
	assert.Equal(t, open, 13, "twelve without a head, half of 24, and the running one")
}
