package tsrelay

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// TestMalformedLoads guards against a log line for every answer of a server that sends a
// malformed load, and against memory that grows with the servers ever seen.
func TestMalformedLoads(t *testing.T) {
	t.Run("a malformed load is logged once until it changes", func(t *testing.T) {
		var m malformedLoads
		assert.Assert(t, !m.changed("a", ""))
		assert.Assert(t, m.changed("a", `"x"`))
		assert.Assert(t, !m.changed("a", `"x"`))
		assert.Assert(t, m.changed("b", `"x"`), "each server is logged")
		assert.Assert(t, m.changed("a", `"y"`))
		assert.Assert(t, !m.changed("a", ""), "a well-formed load is not logged")
		assert.Assert(t, m.changed("a", `"y"`))
	})
	t.Run("the number of remembered servers is bounded", func(t *testing.T) {
		var m malformedLoads
		for i := range 3 * maxMalformedLoads {
			m.changed(turmericshed.ServerID(fmt.Sprint(i)), `"x"`)
		}
		assert.Assert(t, len(m.last) <= maxMalformedLoads)
	})
}

// reportRouter records the load reports that the relay passes on.
type reportRouter struct {
	turmericshed.Router
	reports []turmericshed.LoadReport
}

func (r *reportRouter) Report(_ time.Time, l turmericshed.LoadReport) {
	r.reports = append(r.reports, l)
}

// Guards against a work time that is lost on its way to the router, and against one that
// looks too old to choose by because the server took long to read the prompt.
func TestReportLoad(t *testing.T) {
	router := &reportRouter{}
	s := New(Config{Router: router, Log: slog.New(slog.DiscardHandler)})
	asked := time.Now().Add(-time.Second)
	s.reportLoad("a", asked, turmericshed.BackendReply{HasLoad: true, Load: turmericshed.ServerLoad{Running: 3, Queued: 1}})
	s.reportLoad("a", asked, turmericshed.BackendReply{HasLoad: true, Load: turmericshed.ServerLoad{Running: 3, Queued: 1, WorkTime: 2.5}})
	s.reportLoad("a", asked, turmericshed.BackendReply{MalformedLoad: `"x"`})
	assert.Equal(t, len(router.reports), 2)
	assert.Equal(t, router.reports[0], turmericshed.LoadReport{Server: "a", At: asked, Running: 3, Queued: 1})
	assert.Equal(t, router.reports[1].WorkTime, 2.5)
	assert.Assert(t, time.Since(router.reports[1].At) < 500*time.Millisecond)
}

// Guards against a shared part of the prompt that is larger than the prompt, as callers
// state both.
func TestPrefixTokens(t *testing.T) {
	for name, c := range map[string]struct {
		parts []turmericshed.Tokens
		want  turmericshed.Tokens
	}{
		"no parts":                  {},
		"one part":                  {parts: []turmericshed.Tokens{70}, want: 100},
		"the last part is not in":   {parts: []turmericshed.Tokens{30, 20, 50}, want: 50},
		"more than the prompt":      {parts: []turmericshed.Tokens{1 << 62, 1 << 62, 1}, want: 0},
		"a negative part":           {parts: []turmericshed.Tokens{-30, 20, 50}, want: 20},
		"larger parts than allowed": {parts: []turmericshed.Tokens{500, 1}, want: 100},
	} {
		t.Run(name, func(t *testing.T) {
			q := &request{inbound: turmericshed.Inbound{PromptTokens: 100}}
			for _, n := range c.parts {
				q.inbound.Parts = append(q.inbound.Parts, turmericshed.PromptPart{ID: "p", Tokens: n})
			}
			assert.Equal(t, q.prefixTokens(), c.want)
		})
	}
}
