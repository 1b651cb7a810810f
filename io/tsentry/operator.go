package tsentry

import (
	"crypto/subtle"
	"net/http"

	"turmericshed"
)

// requireOperatorKey passes on only requests with the operators' key.
func (e *Entry) requireOperatorKey(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := bearer(r.Header.Get("Authorization"))
		hash := HashKey(key)
		match := subtle.ConstantTimeCompare([]byte(hash), []byte(e.cfg.OperatorKeyHash)) == 1
		if !ok || e.cfg.OperatorKeyHash == "" || !match {
			e.writeError(w, request{}, turmericshed.NewError(turmericshed.KindUnauthenticated, "operators' key is not valid"))
			return
		}
		h.ServeHTTP(w, r)
	})
}
