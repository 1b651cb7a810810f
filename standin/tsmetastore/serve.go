package tsmetastore

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"
)

const (
	// pageSize is the most items of one answer.
	pageSize = 500
	// maxEntries is the most conditions, writes and deletions of a
	// transaction.
	maxTxnEntries = 32
)

type condition struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
}

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
	s.mux.HandleFunc("GET /kv-watch", s.serveWatch)
	s.mux.HandleFunc("POST /kv-txn", s.serveTxn)
	s.mux.HandleFunc("POST /kv-lease", s.serveLease)
}

// ServeHTTP answers one call.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.calls[r.URL.Path]++
	down := s.down
	s.mu.Unlock()
	if down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mux.ServeHTTP(w, r)
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	i, ok := s.Get(r.URL.Query().Get("key"))
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	writeJSON(w, http.StatusOK, i)
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	list := s.list(r.URL.Query().Get("prefix"), r.URL.Query().Get("after"))
	at := s.revision
	s.mu.Unlock()
	more := len(list) > pageSize
	writeJSON(w, http.StatusOK, map[string]any{"items": list[:min(len(list), pageSize)], "hasMore": more, "at": at})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		gone, down, at, changed := after < s.compacted, s.down, s.revision, s.changed
		events := []Event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		s.mu.Unlock()
		switch {
		case down:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case gone:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveTxn(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.ExpectedRevision)+len(tx.Writes)+len(tx.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	if s.lostWrites > 0 {
		s.lostWrites--
		late := s.lostWriteDelay
		s.mu.Unlock()
		time.AfterFunc(late, func() {
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

// apply carries out a transaction whole or not at all.
func (s *Store) apply(tx transaction) (int, any) {
	current := []Item{}
	holds := true
	for _, c := range tx.ExpectedRevision {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, p := range tx.Writes {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			return http.StatusNotFound, nil
		}
	}
	if len(tx.Writes) > 0 {
		s.revision++
	}
	for _, p := range tx.Writes {
		s.putAtRevision(p.Key, p.Value, p.Lease)
	}
	for _, k := range tx.Remove {
		s.remove(k)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *Store) serveLease(w http.ResponseWriter, r *http.Request) {
	var ask struct {
		TTLMS int64 `json:"ttlMs"`
	}
	if err := json.NewDecoder(r.Body).Decode(&ask); err != nil || ask.TTLMS <= 0 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	id := s.grant(time.Duration(ask.TTLMS) * time.Millisecond)
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttlMs": ask.TTLMS})
}
