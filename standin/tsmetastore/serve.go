package tsmetastore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// pageSize is the maximum number of items in one range answer.
	pageSize = 500
	// maxTxnEntries is the maximum number of conditions, writes and deletions
	// of a transaction in total.
	maxTxnEntries = 32
	watchPath     = "/kv-watch"
)

// condition requires a key to have a revision, or not to exist for 0.
type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

// transaction is the body of POST /kv-txn.
type transaction struct {
	ExpectedRevision []condition `json:"expectedRevision"`
	Writes           []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"writes"`
	Remove []string `json:"remove"`
}

func (s *Store) registerRoutes() {
	s.mux.HandleFunc("GET /kv-key", s.serveKey)
	s.mux.HandleFunc("GET /kv-range", s.serveRange)
	s.mux.HandleFunc("GET "+watchPath, s.serveWatch)
	s.mux.HandleFunc("POST /kv-txn", s.serveTxn)
	s.mux.HandleFunc("POST /kv-lease", s.serveLease)
}

// ServeHTTP answers one call, with 503 while the store is down.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != watchPath {
		s.restoring.RLock()
		defer s.restoring.RUnlock()
	}
	s.mu.Lock()
	s.calls[r.URL.Path]++
	isDown := s.down
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	if isDown {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

// writeJSON answers with the status and v as JSON.
func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	item, ok := s.Get(r.URL.Query().Get("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, item)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	items := s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	revision := s.revision
	s.mu.Unlock()
	hasMore := len(items) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": items[:min(len(items), pageSize)], "hasMore": hasMore, "at": revision})
}

// serveWatch is a long poll: it answers when there are changes after the given
// revision, or with an empty list after waitMs milliseconds. It answers with
// 410 Gone if the history no longer covers that revision.
func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		// A revision above the current one is from an earlier era.
		isCompacted, isDown, revision, changed := after < s.compacted || after > s.revision, s.down, s.revision, s.changed
		w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
		events := []Event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case isDown:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case isCompacted:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// serveTxn runs a transaction. If its answer is to be lost, it aborts the
// connection and runs the transaction after lostWriteDelay.
func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.ExpectedRevision)+len(tx.Writes)+len(tx.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.lostWrites > 0 {
		s.lostWrites--
		delay := s.lostWriteDelay
		s.mu.Unlock()
		time.AfterFunc(delay, func() {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, _ = s.apply(tx)
		})
		panic(http.ErrAbortHandler)
	}
	status, body := s.apply(tx)
	s.mu.Unlock()
	writeJSON(w, status, body)
}

// apply runs a transaction atomically and returns the status and body of the
// answer: 412 with the current items if a condition fails, 404 if a lease has
// expired. The caller holds mu.
func (s *Store) apply(tx transaction) (int, any) {
	current := []Item{}
	conditionsHold := true
	for _, c := range tx.ExpectedRevision {
		item, ok := s.items[c.Key]
		if ok {
			current = append(current, item)
		}
		conditionsHold = conditionsHold && item.Revision == c.Revision
	}
	if !conditionsHold {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, write := range tx.Writes {
		if _, ok := s.leases[write.Lease]; write.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	if len(tx.Writes) > 0 {
		s.revision++
	}
	for _, write := range tx.Writes {
		s.putAtRevision(write.Key, write.Value, write.Lease)
	}
	for _, key := range tx.Remove {
		s.remove(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var request struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&request); err != nil || request.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id := s.grant(time.Duration(request.TTLMS) * time.Millisecond)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": request.TTLMS})
}
