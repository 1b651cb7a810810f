package tscrash

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tspoison"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspause"
	"turmericshed/io/tspeerapi"
)

const (
	// spreadKey chooses the entry VMs that count for all, and countingVMs is how
	// many these are.
	spreadKey   = "crashes"
	countingVMs = 3
	// reportRounds is how often those that did not answer are replaced by the
	// next ones.
	reportRounds = 3
	// gatherPause is for how long reports are gathered for one call: a server
	// ends under many requests at once.
	gatherPause = 30 * time.Millisecond
	// callTimeout bounds a call to another entry VM, crowdedCallTimeout where the
	// answer has to pass a crowded link.
	callTimeout        = 600 * time.Millisecond
	crowdedCallTimeout = 2 * time.Second
	// tellInterval is the time between looks for entry VMs that are not told yet,
	// tellRetry the time until one that did not answer is called again, and
	// tellCalls bounds the calls at one time.
	tellInterval = 500 * time.Millisecond
	tellRetry    = time.Second
	tellCalls    = 16
	// maxTold bounds the requests of one call.
	maxTold = 256
)

// told is how far another entry VM was told.
type told struct {
	incarnation turmericshed.Incarnation
	// upTo is the last change that it took.
	upTo    uint64
	calling bool
	// next is when it may be called again.
	next time.Time
}

// Handler returns the path and handler of the peers' calls.
func (w *Watch) Handler() (string, http.Handler) {
	return tspeerapi.NewCrashServiceHandler(service{w})
}

// service answers the peers' calls.
type service struct{ w *Watch }

// Report counts what another entry VM saw.
func (s service) Report(_ context.Context, r *connect.Request[tspeerapi.CrashEvidence]) (*connect.Response[tspeerapi.CrashEvidence], error) {
	now := time.Now()
	evidence := decodeEvidence(now, r.Msg)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	news := s.w.book.Merge(evidence)
	s.w.noted(now, news, r.Peer().Addr)
	s.w.count(now, news)
	digests := make([]turmericshed.Digest, 0, len(evidence))
	for _, e := range evidence {
		digests = append(digests, e.Digest)
	}
	return connect.NewResponse(encodeEvidence(now, s.w.book.Export(digests))), nil
}

// Tell takes what others counted.
func (s service) Tell(_ context.Context, r *connect.Request[tspeerapi.CrashEvidence]) (*connect.Response[tspeerapi.TellResponse], error) {
	s.w.hear(time.Now(), r.Msg, r.Peer().Addr)
	return connect.NewResponse(&tspeerapi.TellResponse{}), nil
}

// hear joins what another entry VM knows.
func (w *Watch) hear(now time.Time, m *tspeerapi.CrashEvidence, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.noted(now, w.book.Merge(decodeEvidence(now, m)), from)
}

// count lets this entry VM tell all others, and the store, of requests that are
// barred, or were. w.mu is held.
func (w *Watch) count(now time.Time, evidence []tspoison.Evidence) {
	for _, e := range evidence {
		if w.change[e.Digest] == 0 && !now.Before(e.BarredUntil()) {
			continue
		}
		w.changes++
		w.change[e.Digest] = w.changes
		w.unkept[e.Digest] = true
		wake(w.tells)
		wake(w.keeps)
	}
}

// reporter brings evidence to the entry VMs that count.
type reporter struct{ w *Watch }

// String names the controller in the supervisor's log.
func (reporter) String() string { return "crash reporter" }

// Serve runs until ctx ends.
func (c reporter) Serve(ctx context.Context) error {
	for {
		select {
		case <-c.w.reports:
			tspause.For(ctx, gatherPause)
			c.w.report(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// report brings what is in the outbox to the entry VMs that count. Where one does
// not answer, the next one in their order takes its place.
func (w *Watch) report(ctx context.Context) {
	w.mu.Lock()
	digests := slices.Collect(maps.Keys(w.outbox))
	clear(w.outbox)
	w.mu.Unlock()
	self := w.cfg.Members.Self()
	ranked := tspreference.Spread(append(w.cfg.Members.Reachable(), self), spreadKey)
	for part := range slices.Chunk(digests, maxTold) {
		left, missing := ranked, countingVMs
		for round := 0; round < reportRounds && missing > 0 && len(left) > 0; round++ {
			n := min(missing, len(left))
			missing -= w.reportTo(ctx, self, left[:n], part)
			left = left[n:]
		}
		if missing == countingVMs {
			w.cfg.Log.Error("nobody counts ended servers", "requests", len(part))
		}
	}
}

// reportTo brings evidence to some entry VMs at once and returns how many took
// it.
func (w *Watch) reportTo(ctx context.Context, self turmericshed.EntryVM, vms []turmericshed.EntryVM, digests []turmericshed.Digest) int {
	took := make([]bool, len(vms))
	var calls sync.WaitGroup
	for i, vm := range vms {
		if vm.Name == self.Name {
			w.mu.Lock()
			w.count(time.Now(), w.book.Export(digests))
			w.mu.Unlock()
			took[i] = true
			continue
		}
		calls.Go(func() {
			m := w.export(digests)
			err := w.call(ctx, vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
				resp, err := c.Report(ctx, connect.NewRequest(m))
				if err == nil {
					w.hear(time.Now(), resp.Msg, vm.Name)
				}
				return err
			})
			if err != nil {
				w.cfg.Log.Info("entry VM counts no ended servers", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "error", err.Error())
			}
			took[i] = err == nil
		})
	}
	calls.Wait()
	n := 0
	for _, ok := range took {
		if ok {
			n++
		}
	}
	return n
}

// export returns evidence as it is told now.
func (w *Watch) export(digests []turmericshed.Digest) *tspeerapi.CrashEvidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	return encodeEvidence(time.Now(), w.book.Export(digests))
}

// call makes a call to another entry VM.
func (w *Watch) call(ctx context.Context, vm turmericshed.EntryVM, f func(context.Context, tspeerapi.CrashServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, turmericshed.Patience(w.cfg.Link, callTimeout, crowdedCallTimeout))
	defer cancel()
	hc, base := w.cfg.Peers.Client(vm.PeerAddr)
	return f(ctx, tspeerapi.NewCrashServiceClient(hc, base))
}

// teller tells every entry VM what this one counted, until each took it.
type teller struct{ w *Watch }

// String names the controller in the supervisor's log.
func (teller) String() string { return "crash teller" }

// Serve runs until ctx ends.
func (c teller) Serve(ctx context.Context) error {
	tick := time.NewTicker(tellInterval)
	defer tick.Stop()
	slots := make(chan struct{}, tellCalls)
	for {
		select {
		case <-c.w.tells:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, vm := range c.w.untold(time.Now()) {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				c.w.tell(ctx, vm)
			}()
		}
	}
}

// untold returns the entry VMs to call now.
func (w *Watch) untold(now time.Time) []turmericshed.EntryVM {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changes == 0 {
		return nil
	}
	var vms []turmericshed.EntryVM
	for _, vm := range w.cfg.Members.Reachable() {
		t := w.told[vm.Name]
		if t == nil || t.incarnation != vm.Incarnation {
			t = &told{incarnation: vm.Incarnation}
			w.told[vm.Name] = t
		}
		if t.upTo < w.changes && !t.calling && !now.Before(t.next) {
			t.calling = true
			vms = append(vms, vm)
		}
	}
	return vms
}

// tell tells one entry VM what it was not told, the oldest change first.
func (w *Watch) tell(ctx context.Context, vm turmericshed.EntryVM) {
	w.mu.Lock()
	t := w.told[vm.Name]
	digests := make([]turmericshed.Digest, 0, len(w.change))
	for d, n := range w.change {
		if n > t.upTo {
			digests = append(digests, d)
		}
	}
	slices.SortFunc(digests, func(a, b turmericshed.Digest) int { return int(w.change[a]) - int(w.change[b]) })
	upTo := w.changes
	if len(digests) > maxTold {
		digests = digests[:maxTold]
		upTo = w.change[digests[maxTold-1]]
	}
	m := encodeEvidence(time.Now(), w.book.Export(digests))
	w.mu.Unlock()
	err := w.call(ctx, vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
		_, err := c.Tell(ctx, connect.NewRequest(m))
		return err
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	t.calling = false
	if err != nil {
		t.next = time.Now().Add(tellRetry)
		w.cfg.Log.Info("entry VM not told of quarantines", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "requests", len(digests), "error", err.Error())
		return
	}
	t.upTo = upTo
	if t.upTo < w.changes {
		wake(w.tells)
	}
}

func encodeEvidence(now time.Time, evidence []tspoison.Evidence) *tspeerapi.CrashEvidence {
	m := &tspeerapi.CrashEvidence{}
	for _, e := range evidence {
		r := &tspeerapi.RequestEvidence{Digest: string(e.Digest)}
		if !e.PardonedAt.IsZero() {
			r.Cleared, r.ClearedAgoUs, r.ClearedBy = true, now.Sub(e.PardonedAt).Microseconds(), e.PardonedBy
		}
		for _, c := range e.Crashes {
			end := &tspeerapi.ServerEnd{Server: string(c.Server), AgoUs: now.Sub(c.At).Microseconds()}
			if !c.Started.IsZero() {
				end.StartedMs = c.Started.UnixMilli()
			}
			if !c.Began.IsZero() {
				end.RanUs = c.At.Sub(c.Began).Microseconds()
			}
			r.Ends = append(r.Ends, end)
		}
		m.Requests = append(m.Requests, r)
	}
	return m
}

func decodeEvidence(now time.Time, m *tspeerapi.CrashEvidence) []tspoison.Evidence {
	var evidence []tspoison.Evidence
	for _, r := range m.Requests {
		e := tspoison.Evidence{Digest: turmericshed.Digest(r.Digest)}
		if r.Cleared {
			e.PardonedAt, e.PardonedBy = ago(now, r.ClearedAgoUs), r.ClearedBy
		}
		for _, end := range r.Ends {
			c := tspoison.Crash{Server: turmericshed.ServerID(end.Server), At: ago(now, end.AgoUs)}
			if end.RanUs > 0 {
				c.Began = c.At.Add(-time.Duration(end.RanUs) * time.Microsecond)
			}
			if end.StartedMs != 0 {
				c.Started = time.UnixMilli(end.StartedMs)
			}
			e.Crashes = append(e.Crashes, c)
		}
		evidence = append(evidence, e)
	}
	return evidence
}

func ago(now time.Time, us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }
