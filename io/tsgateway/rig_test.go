package tsgateway_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tsgateway"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// The deployment of the tests: two engines in the service pool, two plain servers
// in the service desk, and one client account. A generation request states its
// prompt and output tokens.
const (
	accountName     = "stall"
	apiKey          = "k1"
	promptTokens    = 100
	outputTokens    = 50
	tokensPerEvent  = 5
	eventsPerStream = 8
)

// rig is a store, backend servers and entry VMs on the loopback interface.
type rig struct {
	t            *testing.T
	store        *tsmetastore.Store
	storeAddr    string
	engines      []*tsmetastore.Backend
	desks        []*tsmetastore.Backend
	tableVersion int
	// entryVM receives the rig's requests.
	*entryVM
}

// entryVM is a running gateway.
type entryVM struct {
	gateway *tsgateway.Gateway
	stop    context.CancelFunc
	ended   chan error
}

func newRig(t *testing.T, prepaid int) *rig {
	t.Helper()
	r := &rig{t: t, store: tsmetastore.New()}
	srv := httptest.NewServer(r.store)
	t.Cleanup(srv.Close)
	r.storeAddr = strings.TrimPrefix(srv.URL, "http://")
	for i := range 2 {
		r.engines = append(r.engines, r.startBackend(fmt.Sprint("engine-", i), "pool", eventsPerStream))
		r.desks = append(r.desks, r.startBackend(fmt.Sprint("desk-", i), "desk", 0))
	}
	r.setTable(prepaid)
	r.entryVM = r.start("vm-1")
	return r
}

// startBackend starts a server and writes its entry to the store. A server with events
// is an engine.
func (r *rig) startBackend(id, service string, events int) *tsmetastore.Backend {
	b := &tsmetastore.Backend{ID: id, Events: events, Pause: 5 * time.Millisecond}
	assert.NilError(r.t, b.Start())
	r.t.Cleanup(func() { _ = b.Close() })
	r.store.Put(platform.ServerPrefix+id, b.Entry(service, "a", "ready"))
	return b
}

// setTable writes a routing table with a higher version.
func (r *rig) setTable(prepaid int, extra ...string) {
	r.tableVersion += 3
	routes := append([]string{
		`{"name":"quote","host":"corner.example","prefix":"/quote/","kind":"streaming","service":"pool","timeoutMs":5000,"targetLatencyMs":500,"gapTargetMs":400,"maxAttempts":2,"resumable":true,"stickySessions":true}`,
		`{"name":"once","host":"corner.example","prefix":"/once/","kind":"streaming","service":"pool","timeoutMs":5000,"maxAttempts":1,"stickySessions":true}`,
		`{"name":"book","host":"corner.example","prefix":"/book/","kind":"unsafe","service":"desk","timeoutMs":1000,"maxAttempts":1}`,
		`{"name":"look","host":"corner.example","prefix":"/look/","kind":"safe","service":"desk","timeoutMs":2000,"targetLatencyMs":100,"maxAttempts":2}`,
	}, extra...)
	r.store.Put(platform.TableKey, []byte(fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"pool","maxConnections":600,"engine":{"stride":%d}},{"name":"desk","maxConnections":100}],
 "limits":{"maxHeaderBytes":2000,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"%s","apiKeys":["%s"],"prepaid":%d}]}`, r.tableVersion, strings.Join(routes, ","), tokensPerEvent, accountName, apiKey, prepaid)))
}

// start runs a gateway until the test ends and waits until it is ready.
func (r *rig) start(name string) *entryVM {
	r.t.Helper()
	return r.startWith(name, func(*tsgateway.Config) {})
}

// startWith is start with a changed configuration.
func (r *rig) startWith(name string, change func(*tsgateway.Config)) *entryVM {
	r.t.Helper()
	any0 := netip.MustParseAddrPort("127.0.0.1:0")
	cfg := tsgateway.Config{Log: slog.New(slog.DiscardHandler), Settings: platform.Settings{
		Name: name, FailureDomain: "a", Region: "r", CallerAddr: any0, ReadyAddr: any0, MetricsAddr: any0, PeerAddr: any0, StoreAddr: netip.MustParseAddrPort(r.storeAddr),
		Bounds: platform.Bounds{RetryRatio: 0.2, RetrySlack: 600, RetryWindow: 10 * time.Second, StopTimeout: 8 * time.Second},
	}}
	change(&cfg)
	g, err := tsgateway.New(cfg)
	assert.NilError(r.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	vm := &entryVM{gateway: g, stop: cancel, ended: make(chan error, 1)}
	go func() { vm.ended <- g.Serve(ctx) }()
	r.t.Cleanup(func() {
		if vm.stop != nil {
			vm.kill()
		}
	})
	r.eventually("the entry VM is ready", func() bool { return r.status(g.ReadyAddr(), "/") == http.StatusOK })
	return vm
}

// kill stops the gateway as if its process had crashed.
func (vm *entryVM) kill() {
	vm.gateway.Kill()
	_ = <-vm.ended //nolint:staticcheck // a killed gateway returns an error.
	vm.stop()
	vm.stop = nil
}

// shutdown stops the gateway gracefully and returns its error.
func (vm *entryVM) shutdown() error {
	vm.stop()
	vm.stop = nil
	return <-vm.ended
}

// status returns the status of a GET request; 0 if it fails.
func (r *rig) status(addr netip.AddrPort, path string) int {
	resp, err := http.Get("http://" + addr.String() + path) //nolint:noctx // loopback, in a test.
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

// eventually waits for a condition, for up to 20 s since the machine may be busy.
func (r *rig) eventually(what string, condition func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(20 * time.Second); !condition(); time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("condition not met in time: %s", what)
		}
	}
}

// reply is the answer that a caller receives.
type reply struct {
	status int
	header http.Header
	body   string
	// closes reports whether the answer closes the connection.
	closes bool
	// err is set if the answer is incomplete or missing.
	err error
}

// request sends a request. headers are pairs of name and value, which override the
// generated request id and the other defaults.
func (r *rig) request(method, path, body string, headers ...string) reply {
	r.t.Helper()
	return r.requestContext(context.Background(), method, path, body, headers...)
}

// requestContext is request with a context.
func (r *rig) requestContext(ctx context.Context, method, path, body string, headers ...string) reply {
	r.t.Helper()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+r.gateway.CallerAddr().String()+path, strings.NewReader(body))
	assert.NilError(r.t, err)
	req.Host = "corner.example"
	req.Header.Set("Attempt-Id", turmericshed.NewID("a-"))
	req.Header.Set("Credential", apiKey)
	req.Header.Set("Deadline-Remaining", "4000")
	for i := 0; i < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		return reply{err: err}
	}
	data, err := io.ReadAll(resp.Body)
	return reply{status: resp.StatusCode, header: resp.Header, body: string(data), closes: resp.Close, err: errors.Join(err, resp.Body.Close())}
}

// requestGeneration sends a generation request, which is answered by a stream.
func (r *rig) requestGeneration(path string, headers ...string) reply {
	r.t.Helper()
	return r.request(http.MethodPost, path, "prompt", append([]string{"Model", "m", "Token-Counts", fmt.Sprintf("%d,%d", promptTokens, outputTokens), "Prompt-Prefix", "aa:60,bb:40"}, headers...)...)
}

// ledger returns the account's ledger from the store; the zero value if there is none.
func (r *rig) ledger() tsbudget.Ledger {
	item, ok := r.store.Get(tsbudget.Key(accountName))
	var l tsbudget.Ledger
	if ok {
		assert.NilError(r.t, json.Unmarshal(item.Value, &l))
	}
	return l
}

func assertStatus(t *testing.T, got reply, want int) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, got.status, want, got.body)
}

// assertRefused checks the status and the outcome of a refusal.
func assertRefused(t *testing.T, got reply, status int, outcome turmericshed.Outcome) {
	t.Helper()
	assertStatus(t, got, status)
	var body struct {
		Outcome turmericshed.Outcome `json:"outcome"`
	}
	assert.NilError(t, json.Unmarshal([]byte(got.body), &body))
	assert.Equal(t, body.Outcome, outcome)
}

// completeStream returns the stream of an engine, starting at event from.
func completeStream(from int) string {
	var b strings.Builder
	for n := from; n <= eventsPerStream; n++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", n, n)
	}
	return b.String()
}

// runCount returns how many requests the servers ran.
func runCount(backends []*tsmetastore.Backend) int {
	n := 0
	for _, b := range backends {
		_, all := b.Runs("")
		n += all
	}
	return n
}

// setBehaviour sets how the servers treat the requests that follow.
func setBehaviour(backends []*tsmetastore.Backend, how tsmetastore.Behaviour) {
	for _, b := range backends {
		b.SetBehaviour(how)
	}
}
