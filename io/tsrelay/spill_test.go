package tsrelay_test

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tstable"
	"turmericshed/io/tsrelay"
	"turmericshed/io/tsupstream"
	"turmericshed/platform"
)

// resultRouter passes the results of attempts to a channel.
type resultRouter struct {
	turmericshed.Router
	results chan turmericshed.DispatchResult
}

func (r resultRouter) Done(now time.Time, id turmericshed.ServerID, req turmericshed.RouteRequest, res turmericshed.DispatchResult) {
	r.Router.Done(now, id, req, res)
	r.results <- res
}

// Guards against attempts whose time and bytes the router is not told.
func TestAttemptsAreMeasured(t *testing.T) {
	s := newRelayFixture(t, "", 0)
	router := resultRouter{s.pool, make(chan turmericshed.DispatchResult, 1)}
	relay := tsrelay.New(tsrelay.Config{
		Codec: platform.Codec{}, Router: router, Budgets: s.waitPoints, Log: slog.New(slog.DiscardHandler),
		Upstream: tsupstream.New(tsupstream.Config{Codec: platform.Codec{}}), RetryLimits: tsrelay.RetryLimits{Window: time.Minute}, EntryVMs: func() int { return 1 },
	})
	table, err := platform.DecodeTable([]byte(sendTable))
	assert.NilError(t, err)
	relay.SetTable(tstable.New(table))
	srv := httptest.NewServer(relay)
	t.Cleanup(srv.Close)
	req, err := http.NewRequestWithContext(context.Background(), http.MethodPost, srv.URL+"/find/1", strings.NewReader("a body of 18 bytes"))
	assert.NilError(t, err)
	req.Host = "corner.example"
	for k, v := range map[string]string{"Attempt-Id": "a-1", "Credential": "k1", "Deadline-Remaining": "4000", "Token-Counts": "10,5"} {
		req.Header.Set(k, v)
	}
	resp, err := http.DefaultTransport.RoundTrip(req)
	assert.NilError(t, err)
	body, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.NilError(t, resp.Body.Close())
	assert.Equal(t, resp.StatusCode, http.StatusOK, "%s", body)
	res := <-router.results
	assert.Equal(t, res.RequestBytes, int64(18))
	assert.Equal(t, res.AnswerBytes, int64(len(body)))
	assert.Assert(t, res.FirstOutput > 0)
}
