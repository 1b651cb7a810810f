package tsplatform

import (
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"strconv"
	"time"

	"turmericshed"
	wire "turmericshed/io/tsplatform"
)

const (
	// tickInterval is the time between checks for expired leases and due held
	// writes.
	tickInterval = 50 * time.Millisecond
	// keepAliveInterval is the idle time after which a watch stream sends an
	// empty line.
	keepAliveInterval = 5 * time.Second
	// maxBodyBytes bounds a request body: one value encoded in base64, and the
	// JSON around it.
	maxBodyBytes = 2 * turmericshed.MaxValueBytes
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 5 * time.Second
)

// The paths of the control interface.
const (
	PathFaults          = "/control/faults"
	PathDirectoryFaults = "/control/vms-faults"
	PathApplyHeld       = "/control/land"
	PathCounts          = "/control/counts"
)

// Server serves a Store and a Directory over HTTP. If the faults lose the
// answer to a call, the server closes the connection without a response.
type Server struct {
	store *Store
	dir   *Directory
	mux   *http.ServeMux
}

// NewServer returns a server; Serve runs it.
func NewServer(s *Store, d *Directory) *Server {
	srv := &Server{store: s, dir: d, mux: http.NewServeMux()}
	m := srv.mux
	m.HandleFunc("POST "+wire.PathGet, handle(srv.get))
	m.HandleFunc("POST "+wire.PathList, handle(srv.list))
	m.HandleFunc("POST "+wire.PathSwap, handle(srv.swap))
	m.HandleFunc("POST "+wire.PathGrant, handle(srv.grant))
	m.HandleFunc("POST "+wire.PathKeepAlive, handle(srv.keepAlive))
	m.HandleFunc("GET "+wire.PathWatch, srv.watch)
	m.HandleFunc("GET "+wire.PathDirectory, handle(srv.snapshot))
	m.HandleFunc("POST "+wire.PathEntries, handle(srv.addEntry))
	m.HandleFunc("POST "+wire.PathServers, handle(srv.addServer))
	m.HandleFunc("DELETE "+wire.PathEntries+"/{id}", srv.handleID(func(id string) { d.RemoveEntry(turmericshed.Incarnation(id)) }))
	m.HandleFunc("DELETE "+wire.PathServers+"/{id}", srv.handleID(func(id string) { d.RemoveServer(turmericshed.ServerID(id)) }))
	m.HandleFunc("POST "+wire.PathServers+"/{id}/leave", srv.handleID(func(id string) { d.LeaveServer(turmericshed.ServerID(id)) }))
	m.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Faults()) })
	m.HandleFunc("PUT "+PathFaults, handle(func(_ context.Context, _ Caller, f Faults) (Faults, error) {
		s.SetFaults(f)
		return f, nil
	}))
	m.HandleFunc("PUT "+PathDirectoryFaults, handle(func(_ context.Context, _ Caller, f DirectoryFaults) (DirectoryFaults, error) {
		d.SetFaults(f)
		return f, nil
	}))
	m.HandleFunc("POST "+PathApplyHeld, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, struct {
			Applied int `json:"landed"`
		}{s.ApplyHeldWrites()})
	})
	m.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Counts()) })
	return srv
}

// ServeHTTP answers one call. It adds the Caller named in the request's
// CallerHeader to the request's context.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := context.WithValue(r.Context(), callerContextKey{}, s.store.As(r.Header.Get(wire.CallerHeader)))
	s.mux.ServeHTTP(w, r.WithContext(ctx))
}

// Serve answers calls on ln until ctx is canceled, and closes ln.
func (s *Server) Serve(ctx context.Context, ln net.Listener) error {
	h := &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = h.Close() })
	defer stop()
	go func() {
		t := time.NewTicker(tickInterval)
		defer t.Stop()
		for {
			select {
			case <-t.C:
				s.store.Tick()
			case <-ctx.Done():
				return
			}
		}
	}()
	if err := h.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return ctx.Err()
}

// callerContextKey is the context key of the request's Caller.
type callerContextKey struct{}

// handle returns a handler that decodes the request body as JSON, runs f and
// encodes its result. It does not read the body of a GET.
func handle[In, Out any](f func(ctx context.Context, c Caller, in In) (Out, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var in In
		body := http.MaxBytesReader(w, r.Body, maxBodyBytes)
		if r.Method != http.MethodGet {
			if err := json.NewDecoder(body).Decode(&in); err != nil {
				writeError(w, turmericshed.WrapError(turmericshed.KindBadRequest, err, "bad body"))
				return
			}
		}
		caller, _ := r.Context().Value(callerContextKey{}).(Caller)
		out, err := f(r.Context(), caller, in)
		if err != nil {
			writeError(w, err)
			return
		}
		writeJSON(w, out)
	}
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}

// writeError answers with the error's kind and message. It aborts the
// connection for KindStoreUnknown, where the answer is lost.
func writeError(w http.ResponseWriter, err error) {
	kind := turmericshed.KindOf(err)
	if kind == turmericshed.KindStoreUnknown {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(kind.Info().Status)
	_ = json.NewEncoder(w).Encode(wire.ErrorAnswer{Kind: kind.String(), Message: err.Error()})
}

func (s *Server) get(ctx context.Context, c Caller, in wire.GetRequest) (wire.Item, error) {
	it, err := c.Get(ctx, in.Key)
	return wire.FromItem(it), err
}

func (s *Server) list(ctx context.Context, c Caller, in wire.ListRequest) (wire.ListAnswer, error) {
	items, err := c.List(ctx, in.Prefix, in.After, in.Limit)
	answer := wire.ListAnswer{Items: make([]wire.Item, 0, len(items))}
	for _, it := range items {
		answer.Items = append(answer.Items, wire.FromItem(it))
	}
	return answer, err
}

func (s *Server) swap(ctx context.Context, c Caller, in wire.SwapRequest) (wire.SwapAnswer, error) {
	v, err := c.CompareAndSwap(ctx, turmericshed.Write(in))
	return wire.SwapAnswer{Version: v}, err
}

func (s *Server) grant(ctx context.Context, c Caller, in wire.LeaseRequest) (wire.LeaseAnswer, error) {
	id, err := c.Grant(ctx, time.Duration(in.TTL))
	return wire.LeaseAnswer{Lease: id}, err
}

func (s *Server) keepAlive(ctx context.Context, c Caller, in wire.LeaseRequest) (struct{}, error) {
	return struct{}{}, c.KeepAlive(ctx, in.Lease)
}

func (s *Server) snapshot(ctx context.Context, c Caller, _ struct{}) (turmericshed.DirectorySnapshot, error) {
	if err := s.store.checkReachable(c.name); err != nil {
		return turmericshed.DirectorySnapshot{}, err
	}
	return s.dir.Snapshot(ctx)
}

func (s *Server) addEntry(_ context.Context, _ Caller, in turmericshed.EntryVM) (struct{}, error) {
	s.dir.AddEntry(in)
	return struct{}{}, nil
}

func (s *Server) addServer(_ context.Context, _ Caller, in turmericshed.BackendServer) (struct{}, error) {
	s.dir.AddServer(in)
	return struct{}{}, nil
}

// handleID returns a handler that calls f with the ID in the request's path.
func (s *Server) handleID(f func(id string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f(r.PathValue("id"))
		writeJSON(w, struct{}{})
	}
}

// watch streams changes as lines of JSON until the client disconnects or the
// watch fails.
func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		writeError(w, turmericshed.WrapError(turmericshed.KindBadRequest, err, "bad after"))
		return
	}
	caller, _ := r.Context().Value(callerContextKey{}).(Caller)
	watcher, err := caller.OpenWatcher(r.Context(), r.URL.Query().Get("prefix"), turmericshed.Version(after))
	if err != nil {
		writeError(w, err)
		return
	}
	defer func() { _ = watcher.Close() }()
	flusher := http.NewResponseController(w)
	enc := json.NewEncoder(w)
	for {
		if flusher.Flush() != nil {
			return
		}
		ctx, cancel := context.WithTimeout(r.Context(), keepAliveInterval)
		ev, err := watcher.Next(ctx)
		idle := ctx.Err() != nil && r.Context().Err() == nil
		cancel()
		switch {
		case err == nil:
			err = enc.Encode(wire.WatchLine{Item: wire.FromItem(ev.Item), Deleted: ev.Deleted, Reset: ev.Reset})
		case idle:
			err = enc.Encode(wire.WatchLine{})
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
	}
}
