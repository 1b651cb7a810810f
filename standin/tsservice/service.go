// Package tsservice simulates a plain service that takes bookings and orders. It
// does not deduplicate: a call runs each time it arrives, even if its idempotency
// key ran before, and the service counts the runs of each key. Look-ups may be
// repeated.
//
// POST to any path is a call; GET /calls?key=K looks up the answer of a call;
// any other GET (stock, job status) is a repeatable look-up.
//
// # Usage
//
//	books := tsservice.NewBooks()
//	s, err := tsservice.Listen(tsservice.Options{Node: node, Books: books})
//	if err != nil { ... }
//	go s.Serve(ctx)
//	s.ChangeFaults(func(f *tsservice.Faults) { f.LoseAnswers = 1 })
//	runs := books.Runs()
package tsservice

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"turmericshed"
	"turmericshed/io/tsbackend"
	"turmericshed/standin/tsnode"
)

const (
	// maxBodyBytes bounds a request body.
	maxBodyBytes = 4 << 20
	// defaultSlots is the number of concurrent calls that a server reports if
	// Options sets none.
	defaultSlots = 32
	// stockLevels is the number of distinct stock levels in look-up answers.
	stockLevels = 50
)

// The paths of the control interface.
const (
	PathFaults = "/control/faults"
	PathBooks  = "/control/books"
	PathLeave  = "/control/leave"
	PathCrash  = "/control/crash"
)

// Faults configures the failures that the service injects into subsequent calls.
// A count is the number of subsequent calls that are affected.
type Faults struct {
	// Delay is the latency added before each call and look-up.
	Delay turmericshed.Duration `json:"delay,omitempty"`
	// Refuse makes the server answer with CodeBusy.
	Refuse bool `json:"refuse,omitempty"`
	// LoseAnswers runs the call and closes the connection without an answer.
	LoseAnswers int `json:"lose_answers,omitempty"`
	// CrashBefore crashes the server before the call runs, CrashAfter after it
	// ran and before it is answered.
	CrashBefore int `json:"crash_before,omitempty"`
	CrashAfter  int `json:"crash_after,omitempty"`
	// HoldRuns closes the connection without an answer and runs the call after
	// HoldFor.
	HoldRuns int                   `json:"hold_runs,omitempty"`
	HoldFor  turmericshed.Duration `json:"hold_for,omitempty"`
	// CrashMarker is the text that crashes the server when a body contains it;
	// empty for none.
	CrashMarker string `json:"crash_marker,omitempty"`
}

// Options configures a Service.
type Options struct {
	Node tsnode.Options
	// Books are shared by the servers of one service; nil creates new ones.
	Books *Books
	// RunTime is the duration of a call.
	RunTime time.Duration
	// LoadLag is the age that load reports claim. Their values are current.
	LoadLag time.Duration
}

// Service is one server of a plain service and the servers that replace it after
// crashes.
type Service struct {
	*tsnode.Node
	opts    Options
	mu      sync.Mutex
	faults  Faults
	running atomic.Int64
}

// Listen binds the server's address. Serve runs the server.
func Listen(o Options) (*Service, error) {
	if o.Books == nil {
		o.Books = NewBooks()
	}
	o.Node.Server.Work = turmericshed.WorkService
	if o.Node.Server.Slots <= 0 {
		o.Node.Server.Slots = defaultSlots
	}
	s := &Service{opts: o}
	n, err := tsnode.Listen(o.Node, func(server turmericshed.BackendServer) tsnode.App { return newApp(s, server) })
	if err != nil {
		return nil, err
	}
	s.Node = n
	return s, nil
}

// Books returns the Books in which the server records calls.
func (s *Service) Books() *Books { return s.opts.Books }

// Faults returns a copy of the active faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// ChangeFaults changes the active faults in place.
func (s *Service) ChangeFaults(change func(f *Faults)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.faults)
}

// takeFault decrements the count of a fault and returns true, or returns false
// if the count is 0.
func (s *Service) takeFault(count func(f *Faults) *int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := count(&s.faults)
	if *n <= 0 {
		return false
	}
	*n--
	return true
}

// BookAnswer is the answer to GET PathBooks.
type BookAnswer struct {
	Runs       map[string]int `json:"runs"`
	RunsByBody map[string]int `json:"runs_by_body"`
}

// app holds the handlers of one server, from its start to its crash.
type app struct {
	*http.ServeMux
	service *Service
}

// Run waits until ctx is canceled: the service has no background work.
func (a *app) Run(ctx context.Context) { <-ctx.Done() }

// newApp returns the handlers of one server.
func newApp(s *Service, server turmericshed.BackendServer) *app {
	a := &app{ServeMux: http.NewServeMux(), service: s}
	a.HandleFunc("POST /", a.handleCall)
	a.HandleFunc("GET /", a.handleLookup)
	a.HandleFunc("GET "+tsbackend.PathCallLookup, a.handleCallLookup)
	a.HandleFunc("GET "+tsbackend.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		tsnode.WriteJSON(w, turmericshed.LoadReport{
			Server: server.ID, At: time.Now().Add(-s.opts.LoadLag), Running: int(s.running.Load()), Leaving: s.Leaving(),
		})
	})
	a.HandleFunc("GET "+PathBooks, func(w http.ResponseWriter, _ *http.Request) {
		tsnode.WriteJSON(w, BookAnswer{Runs: s.Books().Runs(), RunsByBody: s.Books().RunsByDigest()})
	})
	a.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { tsnode.WriteJSON(w, s.Faults()) })
	a.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(&f); err != nil {
			tsnode.Refuse(w, http.StatusBadRequest, tsbackend.CodeInvalid, err.Error())
			return
		}
		s.ChangeFaults(func(active *Faults) { *active = f })
		tsnode.WriteJSON(w, f)
	})
	a.HandleFunc("POST "+PathLeave, func(w http.ResponseWriter, r *http.Request) {
		s.Leave(r.Context())
		tsnode.WriteJSON(w, struct{}{})
	})
	a.HandleFunc("POST "+PathCrash, func(http.ResponseWriter, *http.Request) { a.crash() })
	return a
}

// crash crashes the server and aborts the current request.
func (a *app) crash() {
	a.service.Crash()
	panic(http.ErrAbortHandler)
}

// handleCall runs a booking or an order, with the active faults.
func (a *app) handleCall(w http.ResponseWriter, r *http.Request) {
	s := a.service
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		tsnode.Refuse(w, http.StatusBadRequest, tsbackend.CodeInvalid, "bad body")
		return
	}
	f := s.Faults()
	if !a.admit(w, r, f) {
		return
	}
	if f.CrashMarker != "" && bytes.Contains(body, []byte(f.CrashMarker)) {
		a.crash()
	}
	s.running.Add(1)
	defer s.running.Add(-1)
	key := r.Header.Get(tsbackend.HeaderIdempotencyKey)
	run := func() turmericshed.Answer {
		return s.Books().run(key, DigestOf(body), func(job int) turmericshed.Answer { return jobAnswer(job, r.URL.Path, key, body) })
	}
	if s.takeFault(func(f *Faults) *int { return &f.CrashBefore }) {
		a.crash()
	}
	if s.takeFault(func(f *Faults) *int { return &f.HoldRuns }) {
		time.AfterFunc(time.Duration(f.HoldFor), func() { run() })
		panic(http.ErrAbortHandler)
	}
	time.Sleep(s.opts.RunTime)
	answer := run()
	if s.takeFault(func(f *Faults) *int { return &f.CrashAfter }) {
		a.crash()
	}
	if s.takeFault(func(f *Faults) *int { return &f.LoseAnswers }) {
		panic(http.ErrAbortHandler)
	}
	writeAnswer(w, answer)
}

// admit waits for Faults.Delay and reports whether the request may run. It
// refuses requests during Faults.Refuse, and calls while the server is leaving.
func (a *app) admit(w http.ResponseWriter, r *http.Request, f Faults) bool {
	if f.Delay > 0 {
		timer := time.NewTimer(time.Duration(f.Delay))
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-r.Context().Done():
			return false
		}
	}
	switch {
	case a.service.Leaving() && r.Method == http.MethodPost:
		tsnode.Refuse(w, http.StatusServiceUnavailable, tsbackend.CodeLeaving, "leaving")
		return false
	case f.Refuse:
		tsnode.Refuse(w, http.StatusServiceUnavailable, tsbackend.CodeBusy, "refusing")
		return false
	default:
		return true
	}
}

// handleLookup answers a repeatable look-up with a stock level derived from the
// path.
func (a *app) handleLookup(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, r, a.service.Faults()) {
		return
	}
	sum := sha256.Sum256([]byte(r.URL.Path))
	tsnode.WriteJSON(w, struct {
		Path  string `json:"path"`
		Level int    `json:"level"`
	}{r.URL.Path, int(sum[0]) % stockLevels})
}

// handleCallLookup returns the answer of the latest call with the key, or
// CodeNotFound if no call ran with it.
func (a *app) handleCallLookup(w http.ResponseWriter, r *http.Request) {
	if !a.admit(w, r, a.service.Faults()) {
		return
	}
	answer, ok := a.service.Books().lookup(r.URL.Query().Get("key"))
	if !ok {
		tsnode.Refuse(w, http.StatusNotFound, tsbackend.CodeNotFound, "no call ran with this key")
		return
	}
	writeAnswer(w, answer)
}

// writeAnswer writes a to the response.
func writeAnswer(w http.ResponseWriter, a turmericshed.Answer) {
	w.Header().Set("Content-Type", a.ContentType)
	w.WriteHeader(a.Status)
	_, _ = w.Write(a.Body)
}

// Job is the answer to a call. Digest is the digest of the call's body, from
// which a caller can check that it received its own answer.
type Job struct {
	Job    string `json:"job"`
	Path   string `json:"path"`
	Key    string `json:"key"`
	Digest string `json:"digest"`
}

// DigestOf returns the hex SHA-256 digest of a body, as in Job.Digest.
func DigestOf(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// jobAnswer returns the answer to a call that runs as the given job.
func jobAnswer(job int, path, key string, body []byte) turmericshed.Answer {
	b, err := json.Marshal(Job{Job: fmt.Sprintf("job-%d", job), Path: path, Key: key, Digest: DigestOf(body)})
	turmericshed.Assert(err == nil, "job_encoding", "%v", err)
	return turmericshed.Answer{Status: http.StatusCreated, ContentType: "application/json", Body: b}
}
