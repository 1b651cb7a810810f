package tsgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsgateway"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	// tinyMachine is the memory of an entry VM whose budget for bodies holds two of the largest that
	// the routing table allows, of one client account to one service.
	tinyMachine = 1_250_000
	// tinyLimit is the limit of the routing table, usualBytes a usual body.
	tinyLimit  = 100_000
	usualBytes = 90_000
)

func newTinyRig(t *testing.T) *rig {
	r := newRig(t, 1_000_000)
	r.setTable(1_000_000, sendRoutes...)
	item, ok := r.store.Get(platform.TableKey)
	assert.Assert(t, ok)
	r.store.Put(platform.TableKey, []byte(strings.Replace(string(item.Value), `"maxBodyBytes":1000,`, fmt.Sprintf(`"maxBodyBytes":%d,`, tinyLimit), 1)))
	r.entryVM = r.startWith("vm-tiny", func(cfg *tsgateway.Config) { cfg.Settings.MemoryBytes = tinyMachine })
	return r
}

// rawCaller is a caller that writes its requests byte by byte.
type rawCaller struct {
	t *testing.T
	net.Conn
	br *bufio.Reader
}

// dialRaw connects to the entry VM and sends the head of a request, and data.
func (r *rig) dialRaw(key, framing, data string) *rawCaller {
	r.t.Helper()
	c, err := net.Dial("tcp", r.gateway.CallerAddr().String())
	assert.NilError(r.t, err)
	r.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(r.t, c.SetDeadline(time.Now().Add(20*time.Second)))
	_, err = fmt.Fprintf(c, "POST /pay/1 HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Remaining: 8000\r\n%s\r\n\r\n%s", turmericshed.NewID("a-"), key, framing, data)
	assert.NilError(r.t, err)
	return &rawCaller{r.t, c, bufio.NewReader(c)}
}

// reply reads the answer, and whether the connection ends after it.
func (c *rawCaller) reply() reply {
	c.t.Helper()
	resp, err := http.ReadResponse(c.br, nil)
	assert.NilError(c.t, err)
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), closes: resp.Close, err: err}
}

func (c *rawCaller) assertEnds() {
	c.t.Helper()
	_, err := c.br.ReadByte()
	assert.ErrorIs(c.t, err, io.EOF)
}

// metrics returns the metrics of the entry VM.
func (r *rig) metrics() string {
	r.t.Helper()
	resp, err := http.Get("http://" + r.gateway.MetricsAddr().String() + "/metrics") //nolint:noctx // loopback, in a test.
	assert.NilError(r.t, err)
	data, err := io.ReadAll(resp.Body)
	assert.NilError(r.t, err)
	assert.NilError(r.t, resp.Body.Close())
	return string(data)
}

// Guards against refusing a request for lack of memory with anything but a promise that it did not
// run, and against a refusal that comes only when the memory is free.
func TestBodyWithoutMemoryIsRefused(t *testing.T) {
	t.Parallel()
	r := newTinyRig(t)
	// Bodies that were read and whose requests run are not evicted.
	setBehaviour(r.desks, tsmetastore.BehaveSilent)
	for range 2 {
		r.dialRaw(apiKey, "Content-Length: 100000", strings.Repeat("x", tinyLimit))
	}
	r.eventually("the budget is taken", func() bool { return strings.Contains(r.metrics(), "turmericshed_body_bytes_held 200000\n") })
	c := r.dialRaw(apiKey, "Content-Length: 90000", "")
	got := c.reply()
	assertRefused(t, got, http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
	assert.Assert(t, strings.Contains(got.body, `"overloaded"`), got.body)
	assert.Assert(t, got.header.Get("Retry-After") != "")
	assert.Assert(t, got.closes)
}

// Guards against a body that stops just short of its end and keeps others from being served.
func TestStalledBodyMakesRoom(t *testing.T) {
	t.Parallel()
	r := newTinyRig(t)
	stalled := []*rawCaller{
		r.dialRaw(apiKey, "Content-Length: 100000", strings.Repeat("x", tinyLimit-10)),
		r.dialRaw(apiKey, "Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", tinyLimit-10, strings.Repeat("x", tinyLimit-10))),
	}
	for range 2 {
		r.eventually("an ordinary request is served", func() bool {
			return r.request(http.MethodPost, "/look/1", strings.Repeat("x", usualBytes)).status == http.StatusOK
		})
	}
	got := stalled[0].reply()
	assertRefused(t, got, http.StatusServiceUnavailable, turmericshed.OutcomeNotRun)
	assert.Assert(t, got.closes)
	stalled[0].assertEnds()
}

// Guards against reading the rest of a body over the limit, and against a reset that costs the
// caller its answer.
func TestBodyOverTheLimitGetsAnAnswerAndIsClosed(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct{ framing, data string }{
		"announced":   {"Content-Length: 400000", "first bytes"},
		"unannounced": {"Transfer-Encoding: chunked", fmt.Sprintf("%x\r\n%s\r\n", 2*tinyLimit, strings.Repeat("x", 2*tinyLimit))},
	} {
		t.Run(name, func(t *testing.T) {
			r := newTinyRig(t)
			caller := r.dialRaw(apiKey, c.framing, c.data)
			got := caller.reply()
			assertRefused(t, got, http.StatusRequestEntityTooLarge, turmericshed.OutcomeNotRun)
			assert.Assert(t, got.closes)
			caller.assertEnds()
		})
	}
}

// Guards against callers without a key that occupy connections with bodies that never end.
func TestUnreadBodyOfARefusedRequestEndsItsConnection(t *testing.T) {
	t.Parallel()
	r := newTinyRig(t)
	caller := r.dialRaw("unknown", "Transfer-Encoding: chunked", "1\r\nx\r\n")
	began := time.Now()
	assertRefused(t, caller.reply(), http.StatusUnauthorized, turmericshed.OutcomeNotRun)
	caller.assertEnds()
	assert.Assert(t, time.Since(began) < 8*time.Second, "the timeout for a head")
}
