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

// Guards against entry VMs that crash, or stop following the server list, when
// another writer of the store adds a malformed server entry.
func TestMalformedServerEntries(t *testing.T) {
	r := newRig(t, 1_000_000)
	validEntry := string(r.desks[0].Entry("desk", "a", "ready"))
	replaced := func(old, value string) string { return strings.Replace(validEntry, old, value, 1) }
	malformed := map[string]string{
		"very deeply nested":             `{"service":` + strings.Repeat("[", 200_000) + strings.Repeat("]", 200_000) + "}",
		"deeply nested in a known field": replaced(`"version":"v1"`, `"version":`+strings.Repeat(`{"a":`, 9_000)+"1"+strings.Repeat("}", 9_000)),
		"a number too large":             replaced(`"slots":8`, `"slots":1e400`),
		"slots out of range":             replaced(`"slots":8`, `"slots":9223372036854775807`),
		"negative slots":                 replaced(`"slots":8`, `"slots":-9223372036854775808`),
		"a port out of range":            replaced(r.desks[0].Addr(), "127.0.0.1:99999"),
		"port 0":                         replaced(r.desks[0].Addr(), "127.0.0.1:0"),
		"a start time out of range":      replaced(`"born":1`, `"born":9223372036854775807`),
		"not JSON":                       "\xff\x00{",
		"null":                           "null",
		"a very large entry":             `{"service":"` + strings.Repeat("x", 1<<20-100) + `"}`,
	}
	for name, value := range malformed {
		t.Run(name, func(t *testing.T) {
			r.store.Put(platform.ServerPrefix+"odd", []byte(value))
			newServer := r.startBackend(fmt.Sprint("later-", len(r.desks)), "desk", 0)
			r.desks = append(r.desks, newServer)
			r.assertServerUsed(newServer)
		})
	}
	t.Run("an entry VM starts and serves with thousands of malformed entries", func(t *testing.T) {
		for i := range 3000 {
			for _, value := range []string{malformed["a number too large"], malformed["slots out of range"]} {
				r.store.Put(fmt.Sprintf("%sodd-%d", platform.ServerPrefix, i), []byte(value))
			}
		}
		r.entryVM = r.start("vm-2")
		r.assertServerUsed(r.startBackend("last", "desk", 0))
	})
}

// assertServerUsed waits until a server that was just listed receives a request.
// All requests until then must be served, or refused as not ready: an entry VM whose
// own view of the store is stale refuses them.
func (r *rig) assertServerUsed(listed *tsmetastore.Backend) {
	r.t.Helper()
	r.eventually("the newly listed server receives a request", func() bool {
		got := r.request(http.MethodGet, "/look/1", "")
		if !strings.Contains(got.body, turmericshed.KindNotReady.String()) {
			assertStatus(r.t, got, http.StatusOK)
		}
		_, n := listed.Runs("")
		return n > 0
	})
}
