package tsload

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/standin/tsengine"
)

var account = Account{ID: "a1", Key: "ts.a1.secret"}

func options(entries ...netip.AddrPort) Options {
	return Options{
		Entries: entries, Rate: 1000, Duration: 50 * time.Millisecond, Seed: 7, Backoff: time.Millisecond, MaxBackoff: time.Millisecond,
		Profiles: []Profile{
			{Name: "p", Accounts: []Account{account, {ID: "a2"}}, Share: 1, Model: "m", MaxTokens: 8},
			{Name: "q", Accounts: []Account{account}, Share: 1, Service: "booking", LookupShare: 0.5},
		},
	}
}

func nextPlanned(t *testing.T, o Options, w Work) Planned {
	t.Helper()
	assert.NilError(t, o.setDefaults())
	p := newPlan(o)
	for {
		if r := p.next(); r.Work == w {
			return r
		}
	}
}

// serve starts a server that answers every request with h, and returns its address.
func serve(t *testing.T, h http.HandlerFunc) netip.AddrPort {
	t.Helper()
	s := httptest.NewServer(h)
	t.Cleanup(s.Close)
	return netip.MustParseAddrPort(strings.TrimPrefix(s.URL, "http://"))
}

// sendTo sends one request of the given kind to h and returns its record.
func sendTo(t *testing.T, w Work, h http.HandlerFunc) Record {
	t.Helper()
	o := options(serve(t, h))
	l, err := New(o)
	assert.NilError(t, err)
	return l.send(t.Context(), nextPlanned(t, o, w))
}

// answerChat answers as the stand-in engine would, with the text changed by f, and then
// writes end.
func answerChat(f func(text string) string, end string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in struct {
			Messages  []turmericshed.Message `json:"messages"`
			MaxTokens turmericshed.Tokens    `json:"max_tokens"`
		}
		_ = json.NewDecoder(r.Body).Decode(&in)
		text, usage := tsengine.ExpectedAnswer(in.Messages, in.MaxTokens)
		b, _ := json.Marshal(map[string]any{
			"choices": []any{map[string]any{"delta": map[string]any{"content": f(text)}, "finish_reason": "stop"}}, "usage": usage,
		})
		_, _ = w.Write([]byte("data: " + string(b) + "\n\n" + end))
	}
}

const doneEvent = "data: [DONE]\n\n"

func TestPlan(t *testing.T) {
	o := options(netip.MustParseAddrPort("127.0.0.1:1"))
	assert.NilError(t, o.setDefaults())
	t.Run("the same seed plans the same requests", func(t *testing.T) {
		p, q := newPlan(o), newPlan(o)
		for range 100 {
			assert.DeepEqual(t, p.next(), q.next())
		}
	})
	t.Run("arrivals keep the rate and accounts follow their rank", func(t *testing.T) {
		p := newPlan(o)
		n := map[turmericshed.AccountID]int{}
		var last Planned
		for range 20000 {
			last = p.next()
			if last.Work == WorkGeneration {
				n[last.Account.ID]++
			}
		}
		assert.Assert(t, last.At > 19*time.Second && last.At < 21*time.Second, "%v", last.At)
		ratio := float64(n["a1"]) / float64(n["a2"])
		assert.Assert(t, ratio > 1.8 && ratio < 2.2, "%v", ratio)
	})
}

func TestAnswers(t *testing.T) {
	same := func(text string) string { return text }
	t.Run("whole", func(t *testing.T) {
		r := sendTo(t, WorkGeneration, answerChat(same, doneEvent))
		assert.Assert(t, r.Result == ResultAnswered && !r.Partial && !r.Foreign && r.Usage.Completion > 0)
	})
	t.Run("a part shown as whole", func(t *testing.T) {
		r := sendTo(t, WorkGeneration, answerChat(func(s string) string { return s[:len(s)-3] }, doneEvent))
		assert.Assert(t, r.Result == ResultAnswered && r.Partial)
	})
	t.Run("another's text", func(t *testing.T) {
		r := sendTo(t, WorkGeneration, answerChat(func(s string) string { return s + "other.1 " }, doneEvent))
		assert.Assert(t, r.Foreign)
	})
	t.Run("no end mark", func(t *testing.T) {
		r := sendTo(t, WorkGeneration, answerChat(same, ""))
		assert.Equal(t, r.Result, ResultFailed)
		assert.Equal(t, r.Attempts, 6)
	})
	t.Run("a job of another's body", func(t *testing.T) {
		r := sendTo(t, WorkCall, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte(`{"job":"j","digest":"x"}`)) })
		assert.Assert(t, r.Result == ResultAnswered && r.Foreign)
	})
}

func TestRetries(t *testing.T) {
	refusal := func(kind turmericshed.Kind) string {
		return `{"error":{"kind":"` + kind.String() + `","outcome":"` + string(kind.Info().Outcome) + `"}}`
	}
	t.Run("all attempts have the same key", func(t *testing.T) {
		keys := map[string]int{}
		r := sendTo(t, WorkCall, func(w http.ResponseWriter, r *http.Request) {
			keys[r.Header.Get(headerIdempotencyKey)]++
			w.WriteHeader(http.StatusServiceUnavailable)
			_, _ = w.Write([]byte(refusal(turmericshed.KindOverloaded)))
		})
		assert.Equal(t, r.Result, ResultRefused)
		assert.DeepEqual(t, keys, map[string]int{r.Key: 6})
	})
	t.Run("an unknown attempt makes the result unknown", func(t *testing.T) {
		n := 0
		r := sendTo(t, WorkCall, func(w http.ResponseWriter, _ *http.Request) {
			kind := turmericshed.KindQuarantined
			if n++; n == 1 {
				kind = turmericshed.KindCallUnknown
			}
			w.WriteHeader(kind.Info().Status)
			_, _ = w.Write([]byte(refusal(kind)))
		})
		assert.Equal(t, r.Result, ResultUnknown)
		assert.Equal(t, r.Attempts, 2)
	})
	t.Run("no connection is not run", func(t *testing.T) {
		o := options(netip.MustParseAddrPort("127.0.0.1:1"))
		l, err := New(o)
		assert.NilError(t, err)
		r := l.send(t.Context(), nextPlanned(t, o, WorkCall))
		assert.Assert(t, r.Result == ResultRefused && r.Kind == kindNoConnection)
	})
}

func TestRun(t *testing.T) {
	l, err := New(options(serve(t, answerChat(func(s string) string { return s }, doneEvent))))
	assert.NilError(t, err)
	l.Run(t.Context())
	s := l.Book().Summary()
	assert.Assert(t, s.Requests > 10 && s.Answers.Count > 0)
	assert.Equal(t, s.Requests, s.Answered+s.Refused+s.Failed+s.Unknown)
}
