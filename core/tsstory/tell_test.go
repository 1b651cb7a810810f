package tsstory_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsstory"
)

// log holds lines of two entry VMs, out of order, one of them with a log collector's
// prefix.
const log = `
12.5 vm-2 {"time":"2026-01-01T00:00:12.5Z","level":"WARN","msg":"relay: not answered","vm":"vm-2","request":"r1","account":"stall","server":"","status":503,"elapsed_ms":200,"kind":"budget_unavailable","error":"budget of stall: nothing can be drawn now"}
{"time":"2026-01-01T00:00:01Z","level":"INFO","msg":"serving","vm":"vm-2","incarnation":"inc-2"}
{"time":"2026-01-01T00:00:02Z","level":"INFO","msg":"table: routing table in force","vm":"vm-2","version":7,"before":0}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"table: routing table in force","vm":"vm-2","version":9,"before":7}
{"time":"2026-01-01T00:00:03Z","level":"INFO","msg":"table: routing table in force","vm":"vm-1","version":9,"before":7}
{"time":"2026-01-01T00:00:10Z","level":"WARN","msg":"table: store lost","vm":"vm-2","prefix":"op/config","error":"timeout"}
{"time":"2026-01-01T00:00:11Z","level":"INFO","msg":"event: lot_refused","vm":"vm-2","profile":"stall","lot":"lot-1","tokens":500,"reason":"no answer"}
{"time":"2026-01-01T00:00:11Z","level":"INFO","msg":"event: lot_drawn","vm":"vm-1","profile":"stall","lot":"lot-2","tokens":500,"reason":""}
{"time":"2026-01-01T00:00:05Z","level":"INFO","msg":"event: lot_drawn","vm":"vm-2","profile":"stall","lot":"lot-0","tokens":500,"reason":""}
{"time":"2026-01-01T00:00:13Z","level":"INFO","msg":"event: breaker_opened","vm":"vm-1","server":"i-1","reason":"reset"}
{"time":"2026-01-01T00:00:14Z","level":"INFO","msg":"relay: answered","vm":"vm-1","request":"r2","account":"stall","server":"i-1","status":200,"elapsed_ms":40}
not a line
{"time":"never","msg":"nor this"}
`

func storyOf(t *testing.T, id string) []tsstory.AnnotatedLine {
	t.Helper()
	var lines []tsstory.Line
	for text := range strings.Lines(log) {
		if l, ok := tsstory.Parse(text); ok {
			lines = append(lines, l)
		}
	}
	assert.Equal(t, len(lines), 11)
	return tsstory.Tell(lines, id)
}

func assertStory(t *testing.T, story []tsstory.AnnotatedLine, want ...string) {
	t.Helper()
	var got []string
	for _, p := range story {
		got = append(got, p.VM+": "+p.Message+" <- "+p.Why)
	}
	assert.DeepEqual(t, got, want)
}

func TestTell(t *testing.T) {
	t.Run("a request with its entry VM's view", func(t *testing.T) {
		assertStory(t, storyOf(t, "r1"),
			"vm-2: serving <- the process that served it",
			"vm-2: table: routing table in force <- the routing table then",
			"vm-2: table: store lost <- the view of the store then",
			"vm-2: event: lot_refused <- the account's tokens",
			"vm-2: relay: not answered <- the request",
		)
	})
	t.Run("a request with its server's state", func(t *testing.T) {
		assertStory(t, storyOf(t, "r2"),
			"vm-1: table: routing table in force <- the routing table then",
			"vm-1: event: lot_drawn <- the account's tokens",
			"vm-1: event: breaker_opened <- the server's state",
			"vm-1: relay: answered <- the request",
		)
	})
	t.Run("a server", func(t *testing.T) {
		assertStory(t, storyOf(t, "i-1"), "vm-1: event: breaker_opened <- the server", "vm-1: relay: answered <- the server")
	})
	t.Run("a version from its arrival to its end on all entry VMs", func(t *testing.T) {
		assertStory(t, storyOf(t, "version 7"),
			"vm-2: table: routing table in force <- the version",
			"vm-2: table: routing table in force <- the version",
			"vm-1: table: routing table in force <- the version",
		)
	})
	t.Run("an account", func(t *testing.T) {
		assert.Equal(t, len(storyOf(t, "stall")), 5)
	})
	t.Run("an id that no line has", func(t *testing.T) {
		assert.Equal(t, len(storyOf(t, "r3")), 0)
	})
	t.Run("a line as text", func(t *testing.T) {
		story := storyOf(t, "r2")
		assert.Equal(t, story[len(story)-1].String(),
			`00:00:14.000 vm-1 relay: answered account="stall" elapsed_ms="40" request="r2" server="i-1" status="200"  <- the request`)
	})
}
