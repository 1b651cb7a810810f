package tsmember_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsmember"
)

// reading returns a list of the platform; a name ending in "!" is leaving.
func reading(second int, names ...string) turmericshed.DirectorySnapshot {
	snap := turmericshed.DirectorySnapshot{AsOf: time.Unix(int64(second), 0), Entries: []turmericshed.EntryVM{{Name: "vm"}}}
	for _, n := range names {
		leaving := n[len(n)-1] == '!'
		if leaving {
			n = n[:len(n)-1]
		}
		snap.Servers = append(snap.Servers, turmericshed.BackendServer{ID: turmericshed.ServerID(n), Leaving: leaving})
	}
	return snap
}

// assertServers joins readings and checks the servers, those leaving with "!".
func assertServers(t *testing.T, want string, snaps ...turmericshed.DirectorySnapshot) {
	t.Helper()
	var l tsmember.ServerList
	var cur []turmericshed.BackendServer
	for _, s := range snaps {
		cur, _ = l.Join(cur, s)
	}
	got := ""
	for _, s := range cur {
		if got += string(s.ID); s.Leaving {
			got += "!"
		}
	}
	assert.Equal(t, got, want)
}

func TestServerList(t *testing.T) {
	t.Run("a server missing once stays", func(t *testing.T) { assertServers(t, "ab", reading(1, "a", "b"), reading(2, "a")) })
	t.Run("a server missing three times is dropped", func(t *testing.T) {
		assertServers(t, "a", reading(1, "a", "b"), reading(2, "a"), reading(3, "a"), reading(4, "a"))
	})
	t.Run("an empty list drops nothing", func(t *testing.T) {
		assertServers(t, "ab", reading(1, "a", "b"), reading(2), reading(3), reading(4), reading(5))
	})
	t.Run("a stale list read again drops nothing", func(t *testing.T) {
		assertServers(t, "ab", reading(5, "a", "b"), reading(2, "a"), reading(2, "a"), reading(2, "a"), reading(2, "a"))
	})
	t.Run("leaving is not taken back by an older view", func(t *testing.T) {
		assertServers(t, "a!", reading(1, "a!"), reading(2, "a"))
	})
	t.Run("the first sign of leaving counts", func(t *testing.T) { assertServers(t, "a!b", reading(1, "a", "b"), reading(2, "a!", "b")) })
}
