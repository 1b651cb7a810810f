package tsentry_test

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
)

// newPair returns two entry VMs of one failure domain that can reach each other, and functions that stop
// their servers for peers.
func newPair(t *testing.T) (first, second *harness, stop []func()) {
	t.Helper()
	pair := []*harness{newHarness(t, 1000), newHarness(t, 1000)}
	vms := make([]turmericshed.EntryVM, len(pair))
	for i, h := range pair {
		mux := http.NewServeMux()
		mux.Handle(h.entry.StreamService())
		srv := httptest.NewServer(mux)
		t.Cleanup(srv.Close)
		stop = append(stop, srv.Close)
		vms[i] = turmericshed.EntryVM{
			Incarnation: turmericshed.Incarnation(fmt.Sprint("inc-", i)), FailureDomain: "a",
			PeerAddr: netip.MustParseAddrPort(srv.Listener.Addr().String()),
		}
	}
	pair[0].members.all = []turmericshed.EntryVM{vms[0], vms[1]}
	pair[1].members.all = []turmericshed.EntryVM{vms[1], vms[0]}
	return pair[0], pair[1], stop
}

// TestRetryAtAnotherEntryVM checks that a retry of a request with an idempotency key joins the generation
// at another entry VM without a second bill, and runs locally if no entry VM answers.
func TestRetryAtAnotherEntryVM(t *testing.T) {
	for _, key := range []string{"k1", "k2", "k3", "k4"} {
		t.Run("joins the generation, key "+key, func(t *testing.T) {
			first, second, _ := newPair(t)
			first.script = [][]turmericshed.Frame{completeScript()}
			a := first.chat(validChat, "Idempotency-Key", key)
			b := second.chat(validChat, "Idempotency-Key", key)
			assert.Equal(t, a.Code, http.StatusOK, a.Body.String())
			assert.Equal(t, b.Code, http.StatusOK, b.Body.String())
			assert.Equal(t, second.sent, 0)
			second.assertCharged(t, 0)
			assert.Equal(t, first.count(turmericshed.EventRequestBilled)+second.count(turmericshed.EventRequestBilled), 1)
		})
	}
	t.Run("runs the request when no other entry VM answers", func(t *testing.T) {
		first, second, stop := newPair(t)
		first.script = [][]turmericshed.Frame{completeScript()}
		second.script = [][]turmericshed.Frame{completeScript()}
		assert.Equal(t, first.chat(validChat, "Idempotency-Key", "k").Code, http.StatusOK)
		stop[0]()
		stop[1]()
		assert.Equal(t, second.chat(validChat, "Idempotency-Key", "k").Code, http.StatusOK)
		second.assertCharged(t, 5)
	})
	t.Run("a key reused with another body is refused at the other entry VM", func(t *testing.T) {
		first, second, _ := newPair(t)
		first.script = [][]turmericshed.Frame{completeScript()}
		assert.Equal(t, first.chat(validChat, "Idempotency-Key", "k").Code, http.StatusOK)
		w := second.chat(`{"messages":[{"role":"user","content":"other"}]}`, "Idempotency-Key", "k")
		assertRefused(t, w, turmericshed.KindKeyReused, turmericshed.OutcomeNotRun)
	})
}
