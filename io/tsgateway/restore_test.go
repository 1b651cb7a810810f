package tsgateway_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

// restoreSoonTimeout is how soon after a restore of the store the system has written its keys again.
const restoreSoonTimeout = 5 * time.Second

// restoreEmpty restores the store from a copy that is older than the entry VMs. What the operator and the servers
// wrote is written again.
func (r *rig) restoreEmpty() {
	r.store.Restore(tsmetastore.New().Copy(), func(key string) bool {
		return key == platform.TableKey || strings.HasPrefix(key, platform.ServerPrefix)
	})
}

// assertWrittenAgain checks that a key is in the store soon, and that its value contains the words.
func (r *rig) assertWrittenAgain(key string, words ...string) {
	r.t.Helper()
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		item, ok := r.store.Get(key)
		isComplete := ok
		for _, w := range words {
			isComplete = isComplete && strings.Contains(string(item.Value), w)
		}
		if isComplete {
			return
		}
		assert.Assert(r.t, time.Since(began) < restoreSoonTimeout, "%s: exists %v, value %s, want %v", key, ok, item.Value, words)
	}
}

// Guards against keys that a process remembers as written and the store has forgotten.
func TestKeysAreWrittenAgainAfterARestore(t *testing.T) {
	t.Run("the directory of entry VMs", func(t *testing.T) {
		r := newRig(t, 1_000_000)
		r.start("vm-2")
		r.eventually("both are listed", func() bool {
			_, first := r.store.Get("entry_vms/vm-1")
			_, second := r.store.Get("entry_vms/vm-2")
			return first && second
		})
		r.restoreEmpty()
		r.assertWrittenAgain("entry_vms/vm-1")
		r.assertWrittenAgain("entry_vms/vm-2")
	})
	t.Run("software versions and the beginnings of streams", func(t *testing.T) {
		// The streams last longer than the test.
		r := newSlowVersionRig(t, 600*time.Millisecond, "v1", "v2")
		r.waitForVersions(r.entryVM, 2)
		streams := r.beginAll(r.entryVM, streamCount, 1)
		saved := ""
		r.eventually("the beginnings are saved", func() bool {
			for _, item := range r.store.Items("stream_beginnings/") {
				if strings.Contains(string(item.Value), streams[0].id) {
					saved = item.Key
				}
			}
			return saved != ""
		})
		r.restoreEmpty()
		r.assertWrittenAgain("software_versions", "v1", "v2")
		r.assertWrittenAgain(saved, streams[0].id)
	})
	t.Run("a version that no server has any more", func(t *testing.T) {
		r := newVersionRig(t, "v1", "v2")
		r.waitForVersions(r.entryVM, 2)
		for i := range 2 {
			r.store.Remove(fmt.Sprint(platform.ServerPrefix, "engine-v1-", i))
		}
		r.waitForVersions(r.entryVM, 1)
		r.restoreEmpty()
		r.assertWrittenAgain("software_versions", "v1", "v2")
	})
	t.Run("quarantines", func(t *testing.T) {
		r := newCrashRig(t, 3)
		stored := ""
		r.eventually("the request is in quarantine", func() bool {
			r.requestAny(http.MethodGet, "/look/poison", poisonBody)
			for _, item := range r.store.Items(turmericshed.QuarantinePrefix) {
				stored = item.Key
			}
			return stored != ""
		})
		// Later evidence would be written anyway.
		time.Sleep(3 * time.Second)
		r.restoreEmpty()
		r.assertWrittenAgain(stored)
	})
}
