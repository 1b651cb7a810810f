package tsentry_test

import (
	"encoding/json"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp/cmpopts"
	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsbackend"
	"turmericshed/io/tsentry"
)

const (
	testKey = "ts.shop.secret"
)

// harness runs an entry VM's handler with fake dependencies.
type harness struct {
	*fakes
	board   *tsboard.Board
	handler http.Handler
	entry   *tsentry.Entry
	members *fakeMembers
}

func newHarness(t *testing.T, prepaid turmericshed.Tokens, changes ...func(d *tsentry.Deps)) *harness {
	t.Helper()
	f := &fakes{openReservations: map[string]turmericshed.Tokens{}, claimed: map[string]turmericshed.Answer{}}
	account, err := json.Marshal(turmericshed.Account{ID: "shop", KeyHashes: []string{tsentry.HashKey(testKey)}})
	assert.NilError(t, err)
	board := &tsboard.Board{}
	members := &fakeMembers{all: []turmericshed.EntryVM{{Incarnation: "inc-1"}}}
	limits := []turmericshed.AccountLimit{{Account: "shop"}}
	deps := tsentry.Deps{
		Board: board, Members: members, Peers: fakePeers{}, Store: fakeStore{accounts: map[string][]byte{"accounts/shop": account}},
		Profiles: fakeProfiles{
			"assist": {Name: "assist", Work: turmericshed.WorkAssistant, Model: "m", Prepaid: prepaid, Accounts: limits},
			"book":   {Name: "book", Work: turmericshed.WorkService, Services: []string{"bookings"}, Prepaid: prepaid, CallCost: 1, Accounts: limits},
			"other":  {Name: "other", Work: turmericshed.WorkAssistant, Prepaid: prepaid},
		},
		Budgets: fakeBudgets{f}, Claims: fakeClaims{f}, Router: fakeRouter{}, Admission: allowAll{},
		Quarantine: allowAll{}, Retries: allowAll{}, Engine: fakeEngine{fakes: f}, Service: fakeService{fakes: f},
		Recorder: f, RequestMetrics: allowAll{}, Log: slog.New(slog.NewTextHandler(io.Discard, nil)),
	}
	for _, change := range changes {
		change(&deps)
	}
	e := tsentry.New(tsentry.Config{DefaultDeadline: 5 * time.Second}, deps)
	return &harness{fakes: f, board: board, handler: e.Handler(), entry: e, members: members}
}

func (h *harness) do(method, path, profile, body string, headers ...string) *httptest.ResponseRecorder {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set("Turmericshed-Profile", profile)
	for i := 0; i+1 < len(headers); i += 2 {
		req.Header.Set(headers[i], headers[i+1])
	}
	w := httptest.NewRecorder()
	h.handler.ServeHTTP(w, req)
	return w
}

func (h *harness) chat(body string, headers ...string) *httptest.ResponseRecorder {
	return h.do(http.MethodPost, "/v1/chat/completions", "assist", body, headers...)
}

// assertRefused checks kind, outcome and HTTP status of an error response.
func assertRefused(t *testing.T, w *httptest.ResponseRecorder, kind turmericshed.Kind, outcome turmericshed.Outcome) {
	t.Helper()
	var body struct {
		Error struct {
			Kind, Outcome, Message string
			RequestID              string `json:"request_id"`
		}
	}
	assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &body), w.Body.String())
	assert.Equal(t, body.Error.Kind, kind.String(), body.Error.Message)
	assert.Equal(t, body.Error.Outcome, string(outcome))
	assert.Equal(t, w.Code, kind.Info().Status)
}

// assertCharged checks that no reservation is open and that want tokens were charged.
func (h *harness) assertCharged(t *testing.T, want turmericshed.Tokens) {
	t.Helper()
	h.mu.Lock()
	defer h.mu.Unlock()
	assert.Equal(t, len(h.openReservations), 0)
	assert.Equal(t, h.settled, want)
}

const validChat = `{"messages":[{"role":"user","content":"hi"}],"max_tokens":8}`

func completeScript() []turmericshed.Frame {
	return []turmericshed.Frame{
		{Seq: 0, Text: "to", Tokens: 1},
		{Seq: 1, Text: "day", Tokens: 1},
		{Seq: 2, End: true, Finish: "stop", Usage: turmericshed.Usage{Prompt: 3, Completion: 2}},
	}
}

// TestBadInput checks that an invalid request is refused as not run, and that it neither charges the budget
// nor reaches a backend server.
func TestBadInput(t *testing.T) {
	notRun := turmericshed.OutcomeNotRun
	chat := func(body string, headers ...string) func(*harness) *httptest.ResponseRecorder {
		return func(h *harness) *httptest.ResponseRecorder { return h.chat(body, headers...) }
	}
	cases := []struct {
		name string
		do   func(h *harness) *httptest.ResponseRecorder
		want turmericshed.Kind
	}{
		{"truncated", chat(validChat[:20]), turmericshed.KindBadRequest},
		{"not utf-8", chat("{\"messages\":[{\"role\":\"user\",\"content\":\"\xff\"}]}"), turmericshed.KindBadRequest},
		{"negative max_tokens", chat(`{"messages":[{"role":"user","content":"hi"}],"max_tokens":-1}`), turmericshed.KindBadRequest},
		{"absurd max_tokens", chat(`{"messages":[{"role":"user","content":"hi"}],"max_tokens":900000000000}`), turmericshed.KindBadRequest},
		{"max_tokens above the type", chat(`{"messages":[{"role":"user","content":"hi"}],"max_tokens":9e99}`), turmericshed.KindBadRequest},
		{"unknown field", chat(`{"best_of":9,` + validChat[1:]), turmericshed.KindBadRequest},
		{"several answers", chat(`{"n":3,` + validChat[1:]), turmericshed.KindBadRequest},
		{"two bodies", chat(validChat + validChat), turmericshed.KindBadRequest},
		{"no messages", chat(`{}`), turmericshed.KindBadRequest},
		{"other model", chat(`{"model":"x","messages":[{"role":"user","content":"hi"}]}`), turmericshed.KindBadRequest},
		{"oversized", chat(strings.Repeat("x", 2<<20)), turmericshed.KindTooLarge},
		{"wrong key", chat(validChat, "Authorization", "Bearer ts.shop.wrong"), turmericshed.KindUnauthenticated},
		{"unknown account", chat(validChat, "Authorization", "Bearer ts.nobody.x"), turmericshed.KindUnauthenticated},
		{"no key", chat(validChat, "Authorization", ""), turmericshed.KindUnauthenticated},
		{"bad deadline", chat(validChat, "Turmericshed-Deadline", "-3s"), turmericshed.KindBadRequest},
		{"long idempotency key", chat(validChat, "Idempotency-Key", strings.Repeat("k", 300)), turmericshed.KindBadRequest},
		{"unknown profile", chat(validChat, "Turmericshed-Profile", "nope"), turmericshed.KindUnknownProfile},
		{"account outside the profile", chat(validChat, "Turmericshed-Profile", "other"), turmericshed.KindForbidden},
		{"booking without a key", func(h *harness) *httptest.ResponseRecorder {
			return h.do(http.MethodPost, "/services/bookings/jobs", "book", "{}")
		}, turmericshed.KindBadRequest},
		{"service outside the profile", func(h *harness) *httptest.ResponseRecorder {
			return h.do(http.MethodGet, "/services/payroll/x", "book", "")
		}, turmericshed.KindForbidden},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := newHarness(t, 1000)
			assertRefused(t, c.do(h), c.want, notRun)
			h.assertCharged(t, 0)
			assert.Equal(t, h.sent, 0)
		})
	}
}

func TestGeneration(t *testing.T) {
	t.Run("a complete answer is charged its usage and billed once", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.script = [][]turmericshed.Frame{completeScript()}
		w := h.chat(validChat)
		assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
		assert.Assert(t, strings.Contains(w.Body.String(), `"content":"today"`))
		h.assertCharged(t, 5)
		assert.Equal(t, h.count(turmericshed.EventRequestBilled), 1)
	})
	t.Run("sampling settings are passed on", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.script = [][]turmericshed.Frame{completeScript()}
		w := h.chat(`{"temperature":0.5,"stop":["x"],"n":1,` + validChat[1:])
		assert.Equal(t, w.Code, http.StatusOK, w.Body.String())
		assert.Equal(t, *h.sampling.Temperature, 0.5)
		assert.Equal(t, string(h.sampling.Stop), `["x"]`)
	})
	t.Run("a request that the engine rejects as invalid is reported as not run", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.genErr = []error{turmericshed.NewError(turmericshed.KindBadRequest, "stop: too many")}
		assertRefused(t, h.chat(validChat), turmericshed.KindBadRequest, turmericshed.OutcomeNotRun)
		h.assertCharged(t, 0)
		assert.Equal(t, h.sent, 1)
	})
	t.Run("frames of other requests and duplicate frames are dropped", func(t *testing.T) {
		h := newHarness(t, 1000)
		s := completeScript()
		h.script = [][]turmericshed.Frame{{s[0], {Stream: "another", Seq: 1, Text: "XX"}, s[0], s[1], s[2]}}
		w := h.chat(validChat)
		assert.Assert(t, strings.Contains(w.Body.String(), `"content":"today"`), w.Body.String())
		assert.Equal(t, h.count(turmericshed.EventFrameDropped), 2)
	})
	t.Run("an answer with a missing frame is never reported complete", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.resumeErr = turmericshed.NewError(turmericshed.KindNotFound, "gone")
		s := completeScript()
		h.script = [][]turmericshed.Frame{{s[0], s[2]}}
		assertRefused(t, h.chat(validChat), turmericshed.KindStreamBroken, turmericshed.OutcomeRan)
	})
	t.Run("a broken stream resumes after the last complete frame", func(t *testing.T) {
		h := newHarness(t, 1000)
		s := completeScript()
		h.script = [][]turmericshed.Frame{{s[0]}, {s[1], s[2]}}
		w := h.chat(validChat)
		assert.Assert(t, strings.Contains(w.Body.String(), `"content":"today"`), w.Body.String())
		h.assertCharged(t, 5)
		assert.Equal(t, h.sent, 1)
	})
	t.Run("a broken stream ends with an error event and no end mark", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.resumeErr = turmericshed.NewError(turmericshed.KindNotFound, "gone")
		h.script = [][]turmericshed.Frame{completeScript()[:1]}
		w := h.chat(`{"stream":true,` + validChat[1:])
		assert.Assert(t, strings.Contains(w.Body.String(), `"kind":"stream_broken"`))
		assert.Assert(t, !strings.Contains(w.Body.String(), "[DONE]"))
		assert.Equal(t, len(h.openReservations), 1, "stays charged until the engine confirmed a cancel")
		assert.Equal(t, h.count(turmericshed.EventRequestBilled), 0)
	})
	t.Run("a server that refused is skipped", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.genErr = []error{turmericshed.NewError(turmericshed.KindBackendRefused, "leaving")}
		h.script = [][]turmericshed.Frame{completeScript()}
		assert.Equal(t, h.chat(validChat).Code, http.StatusOK)
		h.assertCharged(t, 5)
		assert.Equal(t, h.sent, 2)
	})
	t.Run("a server in place of another is learned from its refusal", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.board.Servers.Write([]turmericshed.BackendServer{{ID: "s0", Leaving: true}, {ID: "s9"}})
		h.genErr = []error{turmericshed.WrapError(turmericshed.KindNoBackend, &tsbackend.ReplacedError{By: "s0-2"}, "s0")}
		h.script = [][]turmericshed.Frame{completeScript()}
		assert.Equal(t, h.chat(validChat).Code, http.StatusOK)
		assert.DeepEqual(t, h.board.Servers.Read(), []turmericshed.BackendServer{{ID: "s0-2"}, {ID: "s9"}}, cmpopts.EquateComparable(netip.AddrPort{}))
	})
	t.Run("a refusal after a lost attempt does not say not_run", func(t *testing.T) {
		h := newHarness(t, 200)
		broken := turmericshed.NewError(turmericshed.KindStreamBroken, "no answer")
		refused := turmericshed.NewError(turmericshed.KindNoBackend, "no connection")
		h.genErr = []error{broken, refused, refused}
		assertRefused(t, h.chat(validChat), turmericshed.KindNoBackend, turmericshed.OutcomeUnknown)
	})
	t.Run("an exhausted budget refuses before dispatch", func(t *testing.T) {
		h := newHarness(t, 5)
		assertRefused(t, h.chat(validChat), turmericshed.KindBudgetExhausted, turmericshed.OutcomeNotRun)
		assert.Equal(t, h.sent, 0)
	})
	t.Run("a retry joins and is billed once", func(t *testing.T) {
		h := newHarness(t, 1000)
		h.script = [][]turmericshed.Frame{completeScript()}
		first := h.chat(validChat, "Idempotency-Key", "k1")
		second := h.chat(validChat, "Idempotency-Key", "k1")
		assert.Equal(t, first.Body.String(), second.Body.String())
		assert.Equal(t, h.sent, 1)
		assert.Equal(t, h.count(turmericshed.EventRequestBilled), 1)
		other := strings.Replace(validChat, "hi", "ho", 1)
		assertRefused(t, h.chat(other, "Idempotency-Key", "k1"), turmericshed.KindKeyReused, turmericshed.OutcomeNotRun)
	})
}

// TestClaimedCall checks that a call that may have run is never sent again, that a retry replays its stored
// answer, and that a call refused before it ran abandons its claim.
func TestClaimedCall(t *testing.T) {
	book := func(h *harness) *httptest.ResponseRecorder {
		return h.do(http.MethodPost, "/services/bookings/jobs", "book", `{"frame":7}`, "Idempotency-Key", "b1")
	}
	t.Run("a retry replays the answer and costs nothing", func(t *testing.T) {
		h := newHarness(t, 10)
		assert.Equal(t, book(h).Code, http.StatusOK)
		assert.Equal(t, book(h).Body.String(), `{"job":1}`)
		assert.Equal(t, h.sent, 1)
		h.assertCharged(t, 1)
	})
	t.Run("a lost answer is unknown and never sent again", func(t *testing.T) {
		h := newHarness(t, 10)
		h.doErr = []error{turmericshed.NewError(turmericshed.KindCallUnknown, "no answer")}
		assertRefused(t, book(h), turmericshed.KindCallUnknown, turmericshed.OutcomeUnknown)
		assert.Equal(t, h.sent, 1)
		assert.Equal(t, h.doubted, 1)
		h.assertCharged(t, 1)
	})
	t.Run("a call that was not sent releases its claim", func(t *testing.T) {
		h := newHarness(t, 10)
		refused := turmericshed.NewError(turmericshed.KindNoBackend, "no connection")
		h.doErr = []error{refused, refused, refused}
		assertRefused(t, book(h), turmericshed.KindNoBackend, turmericshed.OutcomeNotRun)
		assert.Equal(t, h.abandoned, 1)
		h.assertCharged(t, 0)
	})
}
