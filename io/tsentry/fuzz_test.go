package tsentry_test

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// FuzzChatBody checks that any request body gets either a complete answer or an error with an outcome of
// not_run, and that an error charges nothing.
func FuzzChatBody(f *testing.F) {
	for _, s := range []string{validChat, `{}`, `{"messages":[{"role":"user"}],"max_tokens":null}`, `[`, "\xff", `{"messages":[{}],"stream":1}`} {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		h := newHarness(t, 10)
		w := h.chat(string(body))
		if w.Code == http.StatusOK {
			return
		}
		var refusal struct {
			Error struct{ Kind, Outcome string }
		}
		assert.NilError(t, json.Unmarshal(w.Body.Bytes(), &refusal), w.Body.String())
		assert.Assert(t, refusal.Error.Kind != "" && refusal.Error.Outcome == "not_run", w.Body.String())
		h.assertCharged(t, 0)
	})
}

// FuzzAuthorization checks that every Authorization header without the valid key is rejected.
func FuzzAuthorization(f *testing.F) {
	for _, s := range []string{"Bearer " + testKey, "bearer ts.shop.", "Bearer ts..x", "Bearer ts.shop/../x.y", "Basic x", "beareR " + testKey, ""} {
		f.Add(s)
	}
	f.Fuzz(func(t *testing.T, header string) {
		h := newHarness(t, 1)
		w := h.chat(validChat, "Authorization", header)
		scheme, key, _ := strings.Cut(header, " ")
		if strings.EqualFold(scheme, "Bearer") && key == testKey {
			return
		}
		assert.Equal(t, w.Code, http.StatusUnauthorized)
	})
}
