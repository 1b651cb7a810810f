package tshostile_test

import (
	"bytes"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

const (
	// steadyCallers is the number of callers that keep sending until the crowd is closed.
	steadyCallers = 300
	// ordinaryRequests is how many requests an ordinary caller sends, one after another. It sends
	// none again.
	ordinaryRequests = 5
	ordinaryInterval = 300 * time.Millisecond
	// leastDripBytes and mostDripBytes bound the bodies of callers that send slowly, leastPieceBytes and
	// mostPieceBytes what one of them sends every pieceInterval.
	leastDripBytes  = 20 << 10
	mostDripBytes   = 256 << 10
	leastPieceBytes = 2 << 10
	mostPieceBytes  = 6 << 10
	pieceInterval   = 500 * time.Millisecond
	// announcePeriod is how long a connection stays open that sends only a head. It is below any
	// time after which a body counts as stalled.
	announcePeriod = 900 * time.Millisecond
	// slowAnswerTime is the time that the slow backend server takes, slowBodyBytes the size of
	// the requests to it.
	slowAnswerTime = 7 * time.Second
	slowBodyBytes  = 200_000
	// redialInterval is the time between two connections of a caller.
	redialInterval = 50 * time.Millisecond
)

// keepSending runs steadyCallers until the returned function is called, which closes their
// connections. Each caller opens one connection after another, on which it runs use. The seed of
// rng is the caller's number.
func keepSending(t *testing.T, addr string, use func(conn net.Conn, rng *rand.Rand)) (stop func()) {
	t.Helper()
	var c crowd
	done := make(chan struct{})
	var all sync.WaitGroup
	for i := range steadyCallers {
		rng := rand.New(rand.NewPCG(uint64(i), 1))
		all.Go(func() {
			for isDone := false; !isDone; {
				if conn := c.dial(addr); conn != nil {
					use(conn, rng)
					_ = conn.Close()
				}
				select {
				case <-done:
					isDone = true
				case <-time.After(redialInterval):
				}
			}
		})
	}
	stop = sync.OnceFunc(func() {
		close(done)
		c.close()
		all.Wait()
	})
	t.Cleanup(stop)
	time.Sleep(settlePeriod)
	return stop
}

// drip sends a body piece by piece, and waits for the answer.
func drip(conn net.Conn, rng *rand.Rand) {
	size := leastDripBytes + rng.IntN(mostDripBytes-leastDripBytes)
	if _, err := conn.Write(lengthHead(size)); err != nil {
		return
	}
	for size > 0 {
		n := min(size, leastPieceBytes+rng.IntN(mostPieceBytes-leastPieceBytes))
		if _, err := conn.Write(ordinaryBody[:n]); err != nil {
			return
		}
		size -= n
		time.Sleep(pieceInterval)
	}
	readAnswer(conn)
}

// announce sends the head of a request with a body, and nothing of the body.
func announce(conn net.Conn, rng *rand.Rand) {
	size := leastDripBytes + rng.IntN(mostDripBytes-leastDripBytes)
	if _, err := conn.Write(lengthHead(size)); err == nil {
		time.Sleep(announcePeriod)
	}
}

// askSlowServer sends a whole body to the slow backend server, and waits for the answer.
func askSlowServer(conn net.Conn, _ *rand.Rand) {
	h := bytes.Replace(lengthHead(slowBodyBytes), []byte("/look/1"), []byte("/odd/1"), 1)
	if _, err := conn.Write(append(h, bytes.Repeat([]byte("x"), slowBodyBytes)...)); err == nil {
		readAnswer(conn)
	}
}

// readAnswer reads until the connection ends or writeTimeout has passed.
func readAnswer(conn net.Conn) {
	_ = conn.SetReadDeadline(time.Now().Add(writeTimeout))
	buf := make([]byte, 4<<10)
	_, _ = io.ReadAtLeast(conn, buf, 1)
}

// assertServed checks that each of some ordinary requests with a key is answered at once.
func (g *gateway) assertServed(key string) {
	g.t.Helper()
	for i := range ordinaryRequests {
		assert.Check(g.t, g.ordinary(key), "ordinary request %d with key %s", i+1, key)
		time.Sleep(ordinaryInterval)
	}
}

// steadyCrowd checks that callers of another client account, and of the same one, are answered
// while a crowd keeps sending.
func steadyCrowd(t *testing.T, use func(conn net.Conn, rng *rand.Rand)) {
	slow := startOddServer(t, func(c net.Conn, id string) {
		time.Sleep(slowAnswerTime)
		_, _ = c.Write(append(replyHead(http.StatusOK, id, "Content-Length: 2\r\n"), "ok"...))
	})
	g := startWithDeskAnd(t, deploymentDescriptors, map[string][]byte{"odd-0": slow.entry()})
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	stop := keepSending(t, g.callerAddr, use)
	g.assertServed("k2")
	g.assertServed("k1")
	g.assertBounds(s, stop)
}

// Guards against a crowd whose bodies arrive steadily but slowly, and that keeps the memory for
// bodies from others.
func TestBodiesThatDrip(t *testing.T) { steadyCrowd(t, drip) }

// Guards against reserving memory for bodies of which nothing has come.
func TestAnnouncedBodiesThatNeverCome(t *testing.T) { steadyCrowd(t, announce) }

// Guards against requests of one client account that wait for a slow service, and whose bodies
// keep the memory from other accounts and services.
func TestBodiesThatWaitForASlowService(t *testing.T) { steadyCrowd(t, askSlowServer) }

const (
	// pipeliningCallers send pipelinedRequests each, without waiting for an answer.
	pipeliningCallers  = 1000
	pipelinedRequests  = 8
	pipelinedBodyBytes = 60_000
)

// Guards against requests that are sent ahead and wait in the kernel's buffers.
func TestRequestsSentAhead(t *testing.T) {
	g := startWithDeskAnd(t, deploymentDescriptors, map[string][]byte{})
	s := startSampler(g.cmd.Process.Pid, g.callerPort)
	var c crowd
	body := bytes.Repeat([]byte("x"), pipelinedBodyBytes)
	c.sendFrom(pipeliningCallers, g.callerAddr, func(int) (pieces [][]byte) {
		for range pipelinedRequests {
			pieces = append(pieces, lengthHead(pipelinedBodyBytes), body)
		}
		return pieces
	})
	g.assertBounds(s, c.close)
}

// A single request inside the limits is served in a calm period.
func TestLargestBodyInACalmPeriod(t *testing.T) {
	g := startWithDeskAnd(t, deploymentDescriptors, map[string][]byte{})
	body := bytes.Repeat([]byte("x"), maxBodyBytes)
	req, err := http.NewRequest(http.MethodPost, "http://"+g.callerAddr+"/look/1", bytes.NewReader(body)) //nolint:noctx // loopback, in a test.
	assert.NilError(t, err)
	id := turmericshed.NewID("a-")
	req.Host = "corner.example"
	for name, value := range map[string]string{"Attempt-Id": id, "Credential": "k1", "Deadline-Remaining": "8000"} {
		req.Header.Set(name, value)
	}
	status, text, err := roundTrip(req)
	assert.NilError(t, err)
	assert.Equal(t, status, http.StatusOK, text)
	assert.Equal(t, text, "answer to "+id)
}
