package tsrelay_test

import (
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/core/tstable"
	"turmericshed/io/tsrelay"
	"turmericshed/io/tsrouting"
	"turmericshed/io/tsupstream"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const impatientTable = `{"version":1,"services":[{"name":"pool","maxConnections":100}],"tenants":[{"name":"stall","apiKeys":["k1"],"prepaid":1000}],"routes":[
 {"name":"tell","host":"corner.example","prefix":"/tell/","kind":"streaming","service":"pool","timeoutMs":8000,"targetLatencyMs":20,"gapTargetMs":20,"maxAttempts":2,"resumable":true}]}`

// standstill is a crash watch in which the process stands still once an answer is complete. When it goes on,
// the link is congested.
type standstill struct {
	*crashRecorder
	link *fakeWaits
}

func (s standstill) Survived(now time.Time, d turmericshed.Digest) {
	time.Sleep(time.Second)
	s.link.isCongested.Store(true)
	s.crashRecorder.Survived(now, d)
}

// Guards against a complete stream that is aborted by a panic, since the timer of a process that stood still
// has expired.
func TestCompleteStreamAtAProcessThatStoodStill(t *testing.T) {
	b := &tsmetastore.Backend{ID: "engine-0", Events: 3, Pause: time.Millisecond}
	assert.NilError(t, b.Start())
	t.Cleanup(func() { _ = b.Close() })
	server, err := platform.DecodeServer(turmericshed.Item{Key: platform.ServerPrefix + b.ID, Value: b.Entry("pool", "a", "ready")})
	assert.NilError(t, err)
	board, waits := &tsboard.Board{}, &fakeWaits{}
	board.Servers.Write([]turmericshed.BackendServer{server})
	relay := tsrelay.New(tsrelay.Config{
		Codec: platform.Codec{}, Router: tsrouting.NewPool(tsrouting.PoolConfig{FailureDomain: "a", Board: board}), Budgets: waits, Link: waits,
		CrashWatch: standstill{&crashRecorder{}, waits}, Log: slog.New(slog.DiscardHandler),
		Upstream:    tsupstream.New(tsupstream.Config{Codec: platform.Codec{}}),
		RetryLimits: tsrelay.RetryLimits{Ratio: 1, Slack: 100, Window: time.Minute}, EntryVMs: func() int { return 1 },
	})
	table, err := platform.DecodeTable([]byte(impatientTable))
	assert.NilError(t, err)
	relay.SetTable(tstable.New(table))
	srv := httptest.NewServer(relay)
	t.Cleanup(srv.Close)
	req, err := http.NewRequestWithContext(t.Context(), http.MethodPost, srv.URL+"/tell/1", strings.NewReader("prompt"))
	assert.NilError(t, err)
	req.Host = "corner.example"
	for k, v := range map[string]string{"Attempt-Id": "a-1", "Credential": "k1", "Deadline-Remaining": "6000", "Token-Counts": "10,15", "Model": "m", "Prompt-Prefix": "aa:10"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err, "after %q", body)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	assert.Equal(t, strings.Count(string(body), "id: "), 3)
}
