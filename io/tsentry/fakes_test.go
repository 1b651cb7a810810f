package tsentry_test

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
)

// fakes is the shared state of the fake dependencies of an entry VM.
type fakes struct {
	turmericshed.Store
	mu               sync.Mutex
	events           []turmericshed.Event
	reserved         turmericshed.Tokens
	settled          turmericshed.Tokens
	openReservations map[string]turmericshed.Tokens
	canceled         int
	sampling         turmericshed.Sampling
	sent             int
	// script holds the frames of each stream that the engine opens, in order.
	script [][]turmericshed.Frame
	// genErr and doErr hold the errors of consecutive calls; resumeErr is returned by every Resume.
	genErr    []error
	resumeErr error
	doErr     []error
	claimed   map[string]turmericshed.Answer
	abandoned int
	doubted   int
	usage     turmericshed.Usage
}

func (f *fakes) Record(e turmericshed.Event) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.events = append(f.events, e)
}

func (f *fakes) count(name turmericshed.EventName) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, e := range f.events {
		if e.Name == name {
			n++
		}
	}
	return n
}

type fakeStore struct {
	turmericshed.Store
	accounts map[string][]byte
}

func (s fakeStore) Get(_ context.Context, key string) (turmericshed.Item, error) {
	v, ok := s.accounts[key]
	if !ok {
		return turmericshed.Item{Key: key}, nil
	}
	return turmericshed.Item{Key: key, Value: v, Version: 1}, nil
}

type fakeProfiles map[turmericshed.ProfileName]turmericshed.Profile

func (p fakeProfiles) Get(_ context.Context, name turmericshed.ProfileName) (turmericshed.Profile, time.Duration, error) {
	v, ok := p[name]
	if !ok {
		return v, 0, turmericshed.NewError(turmericshed.KindUnknownProfile, "no profile of that name")
	}
	return v, 0, nil
}

type fakeBudgets struct{ *fakes }

func (b fakeBudgets) Reserve(_ context.Context, p turmericshed.Profile, r turmericshed.RequestID, n turmericshed.Tokens) (turmericshed.Reservation, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reserved+n > p.Prepaid {
		return turmericshed.Reservation{}, turmericshed.NewError(turmericshed.KindBudgetExhausted, "budget is spent")
	}
	b.reserved += n
	res := turmericshed.Reservation{ID: turmericshed.NewID("res-"), Request: r, Amount: n}
	b.openReservations[res.ID] = n
	return res, nil
}

func (b fakeBudgets) Settle(res turmericshed.Reservation, used turmericshed.Tokens) {
	b.mu.Lock()
	defer b.mu.Unlock()
	turmericshed.Assert(b.openReservations[res.ID] == res.Amount && used <= res.Amount, "settled_once", "%s", res.ID)
	delete(b.openReservations, res.ID)
	b.settled += used
}
func (b fakeBudgets) Suspend(turmericshed.Reservation) {}
func (b fakeBudgets) Drain(context.Context) error      { return nil }

type fakeClaims struct{ *fakes }

func (c fakeClaims) Claim(_ context.Context, call turmericshed.Call) (turmericshed.ClaimDecision, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if a, ok := c.claimed[call.Key]; ok {
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Answer: a}, nil
	}
	return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimRun, Claim: turmericshed.ClaimID(call.Key)}, nil
}
func (c fakeClaims) Dispatch(turmericshed.ClaimID) error { return nil }
func (c fakeClaims) Complete(_ context.Context, id turmericshed.ClaimID, a turmericshed.Answer) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.claimed[string(id)] = a
	return nil
}

func (c fakeClaims) Abandon(context.Context, turmericshed.ClaimID) error {
	c.abandoned++
	return nil
}

func (c fakeClaims) MarkInDoubt(context.Context, turmericshed.ClaimID, string) error {
	c.doubted++
	return nil
}
func (c fakeClaims) Drain(context.Context) error { return nil }

type fakeRouter struct{ turmericshed.Router }

func (fakeRouter) Pick(_ context.Context, _ time.Time, r turmericshed.RouteRequest) (turmericshed.BackendServer, error) {
	return turmericshed.BackendServer{ID: turmericshed.ServerID(fmt.Sprint("s", len(r.Excluded)))}, nil
}

func (fakeRouter) Done(time.Time, turmericshed.ServerID, turmericshed.RouteRequest, turmericshed.DispatchResult) {
}

// fakeMembers lists the entry VMs of a test; the first one is the local entry VM.
type fakeMembers struct {
	turmericshed.Members
	all []turmericshed.EntryVM
}

func (m *fakeMembers) Self() turmericshed.EntryVM        { return m.all[0] }
func (m *fakeMembers) Reachable() []turmericshed.EntryVM { return m.all[1:] }
func (m *fakeMembers) State(turmericshed.Incarnation) turmericshed.MemberState {
	return turmericshed.MemberAlive
}

type fakePeers struct{}

func (fakePeers) Client(addr netip.AddrPort) (connect.HTTPClient, string) {
	return http.DefaultClient, "http://" + addr.String()
}

// allowAll fakes admission, quarantine, retry budget and metrics; it allows every request.
type allowAll struct{}

func (allowAll) Admit(context.Context, turmericshed.AdmitRequest) (func(), error) {
	return func() {}, nil
}

func (allowAll) Check(time.Time, turmericshed.Digest) error { return nil }
func (allowAll) Survived(time.Time, turmericshed.Digest)    {}
func (allowAll) Started(time.Time, turmericshed.Digest, turmericshed.ServerID) error {
	return nil
}
func (allowAll) Ended(time.Time, turmericshed.Digest, turmericshed.ServerID, bool) {}
func (allowAll) RecordTokenGap(time.Duration)                                      {}
func (allowAll) RecordRequest(turmericshed.WorkKind, turmericshed.Kind, time.Duration, time.Duration) {
}
func (allowAll) RecordFirstAttempt(time.Time) {}
func (allowAll) Allow(time.Time) bool         { return true }

type fakeEngine struct {
	turmericshed.Engine
	*fakes
}

func (g fakeEngine) Generate(_ context.Context, _ turmericshed.BackendServer, r turmericshed.GenerateRequest) (turmericshed.TokenStream, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.sent++
	g.sampling = r.Sampling
	if len(g.genErr) > 0 {
		err := g.genErr[0]
		g.genErr = g.genErr[1:]
		if err != nil {
			return nil, err
		}
	}
	return g.nextScript(r.Stream), nil
}

func (g fakeEngine) Resume(_ context.Context, _ turmericshed.BackendServer, id turmericshed.StreamID, _ int) (turmericshed.TokenStream, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.resumeErr != nil {
		return nil, g.resumeErr
	}
	return g.nextScript(id), nil
}

func (g fakeEngine) nextScript(id turmericshed.StreamID) *fakeStream {
	s := &fakeStream{}
	if len(g.script) > 0 {
		s.frames = g.script[0]
		g.script = g.script[1:]
	}
	for i := range s.frames {
		if s.frames[i].Stream == "" {
			s.frames[i].Stream = id
		}
	}
	return s
}

func (g fakeEngine) Cancel(context.Context, turmericshed.BackendServer, turmericshed.StreamID) (turmericshed.Usage, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.canceled++
	return g.usage, nil
}

type fakeStream struct{ frames []turmericshed.Frame }

func (s *fakeStream) Next() (turmericshed.Frame, error) {
	if len(s.frames) == 0 {
		return turmericshed.Frame{}, turmericshed.NewError(turmericshed.KindStreamBroken, "connection ended")
	}
	f := s.frames[0]
	s.frames = s.frames[1:]
	return f, nil
}
func (s *fakeStream) Close() error { return nil }

type fakeService struct {
	turmericshed.Service
	*fakes
}

func (s fakeService) Do(context.Context, turmericshed.BackendServer, turmericshed.ServiceRequest) (turmericshed.Answer, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sent++
	if len(s.doErr) > 0 {
		err := s.doErr[0]
		s.doErr = s.doErr[1:]
		return turmericshed.Answer{}, err
	}
	return turmericshed.Answer{Status: http.StatusOK, Body: []byte(`{"job":1}`)}, nil
}
