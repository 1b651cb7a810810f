package tsgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"turmericshed"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// Entry VMs ended, or stopped following the list of servers, for an odd entry of
// another writer.
func TestMalformedServerEntries(t *testing.T) {
	r := newRig(t, 1_000_000)
	sound := string(r.desks[0].Entry("desk", "a", "ready"))
	with := func(old, value string) string { return strings.Replace(sound, old, value, 1) }
	odd := map[string]string{
		"very deeply nested":   `{"service":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + "}",
		"deep in an own field": with(`"version":"v1"`, `"version":`+strings.Repeat(`{"a":`, 9_000)+"1"+strings.Repeat("}", 9_000)),
		"a number too large":   with(`"slots":8`, `"slots":1e400`),
		"slots beyond all":     with(`"slots":8`, `"slots":9223372036854775807`),
		"slots below 0":        with(`"slots":8`, `"slots":-9223372036854775808`),
		"a port out of range":  with(r.desks[0].Addr(), "127.0.0.1:99999"),
		"port 0":               with(r.desks[0].Addr(), "127.0.0.1:0"),
		"a start beyond all":   with(`"born":1`, `"born":9223372036854775807`),
		"no JSON":              "\xff\x00{",
		"null":                 "null",
		"a large one":          `{"service":"` + strings.Repeat("x", 1<<20-100) + `"}`,
	}
	for name, value := range odd {
		t.Run(name, func(t *testing.T) {
			r.store.Put(platform.ServerPrefix+"odd", []byte(value))
			later := r.startBackend(fmt.Sprint("later-", len(r.desks)), "desk", 0)
			r.desks = append(r.desks, later)
			r.assertServerUsed(later)
		})
	}
	t.Run("thousands of them, and a start among them", func(t *testing.T) {
		for i := range 3000 {
			for _, value := range []string{odd["a number too large"], odd["slots beyond all"]} {
				r.store.Put(fmt.Sprintf("%sodd-%d", platform.ServerPrefix, i), []byte(value))
			}
		}
		r.entryVM = r.start("vm-2")
		r.assertServerUsed(r.startBackend("last", "desk", 0))
	})
}

// assertServerUsed checks that a server which was listed just now is used, and that
// all requests meanwhile are served, but by an entry VM that is late itself.
func (r *rig) assertServerUsed(listed *tsmetastore.Backend) {
	r.t.Helper()
	r.eventually("a server that was listed later is used", func() bool {
		got := r.request(http.MethodGet, "/look/1", "")
		if !strings.Contains(got.body, turmericshed.KindNotReady.String()) {
			assertStatus(r.t, got, http.StatusOK)
		}
		_, n := listed.Runs("")
		return n > 0
	})
}
