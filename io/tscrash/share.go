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
	// aggregatorKey chooses the entry VMs that count for all, and countingVMs is how
	// many these are.
	aggregatorKey   = "crashes"
	aggregatorCount = 3
	// maxReportRounds is how often those that did not answer are replaced by the
	// next ones.
	maxReportRounds = 3
	// reportBatchDelay is for how long reports are gathered for one call: a server
	// ends under many requests at once.
	reportBatchDelay = 30 * time.Millisecond
	// callTimeout bounds a call to another entry VM, crowdedCallTimeout where the
	// answer has to pass a crowded link.
	callTimeout        = 600 * time.Millisecond
	congestedCallTimeout = 2 * time.Second
	// notifyInterval is the time between looks for entry VMs that are not told yet,
	// tellRetry the time until one that did not answer is called again, and
	// tellCalls bounds the calls at one time.
	notifyInterval = 500 * time.Millisecond
	notifyRetryDelay    = time.Second
	maxNotifyCalls    = 16
	// maxRequestsPerCall bounds the requests of one call.
	maxRequestsPerCall = 256
)

// delivery is how far another entry VM was delivery.
type delivery struct {
	incarnation turmericshed.Incarnation
	// ackedChange is the last change that it took.
	ackedChange    uint64
	isSending bool
	// retryAt is when it may be called again.
	retryAt time.Time
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
	s.w.recordChanges(now, news, r.Peer().Addr)
	s.w.queueBlocked(now, news)
	digests := make([]turmericshed.Digest, 0, len(evidence))
	for _, e := range evidence {
		digests = append(digests, e.Digest)
	}
	return connect.NewResponse(encodeEvidence(now, s.w.book.Export(digests))), nil
}

// Tell takes what others counted.
func (s service) Tell(_ context.Context, r *connect.Request[tspeerapi.CrashEvidence]) (*connect.Response[tspeerapi.TellResponse], error) {
	s.w.mergeFrom(time.Now(), r.Msg, r.Peer().Addr)
	return connect.NewResponse(&tspeerapi.TellResponse{}), nil
}

// mergeFrom joins what another entry VM knows.
func (w *Watch) mergeFrom(now time.Time, m *tspeerapi.CrashEvidence, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordChanges(now, w.book.Merge(decodeEvidence(now, m)), from)
}

// queueBlocked lets this entry VM tell all others, and the store, of requests that are
// barred, or were. w.mu is held.
func (w *Watch) queueBlocked(now time.Time, evidence []tspoison.Evidence) {
	for _, e := range evidence {
		if w.requestChange[e.Digest] == 0 && !now.Before(e.BarredUntil()) {
			continue
		}
		w.lastChange++
		w.requestChange[e.Digest] = w.lastChange
		w.unsaved[e.Digest] = true
		wake(w.notifyWake)
		wake(w.persistWake)
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
		case <-c.w.reportWake:
			tspause.For(ctx, reportBatchDelay)
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
	digests := slices.Collect(maps.Keys(w.unreported))
	clear(w.unreported)
	w.mu.Unlock()
	self := w.cfg.Members.Self()
	ranked := tspreference.Spread(append(w.cfg.Members.Reachable(), self), aggregatorKey)
	for part := range slices.Chunk(digests, maxRequestsPerCall) {
		left, missing := ranked, aggregatorCount
		for round := 0; round < maxReportRounds && missing > 0 && len(left) > 0; round++ {
			n := min(missing, len(left))
			missing -= w.reportTo(ctx, self, left[:n], part)
			left = left[n:]
		}
		if missing == aggregatorCount {
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
			w.queueBlocked(time.Now(), w.book.Export(digests))
			w.mu.Unlock()
			took[i] = true
			continue
		}
		calls.Go(func() {
			m := w.encodeRequests(digests)
			err := w.call(ctx, vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
				resp, err := c.Report(ctx, connect.NewRequest(m))
				if err == nil {
					w.mergeFrom(time.Now(), resp.Msg, vm.Name)
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

// encodeRequests returns evidence as it is told now.
func (w *Watch) encodeRequests(digests []turmericshed.Digest) *tspeerapi.CrashEvidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	return encodeEvidence(time.Now(), w.book.Export(digests))
}

// call makes a call to another entry VM.
func (w *Watch) call(ctx context.Context, vm turmericshed.EntryVM, f func(context.Context, tspeerapi.CrashServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, turmericshed.Patience(w.cfg.Link, callTimeout, congestedCallTimeout))
	defer cancel()
	hc, base := w.cfg.Peers.Client(vm.PeerAddr)
	return f(ctx, tspeerapi.NewCrashServiceClient(hc, base))
}

// notifier tells every entry VM what this one counted, until each took it.
type notifier struct{ w *Watch }

// String names the controller in the supervisor's log.
func (notifier) String() string { return "crash teller" }

// Serve runs until ctx ends.
func (c notifier) Serve(ctx context.Context) error {
	tick := time.NewTicker(notifyInterval)
	defer tick.Stop()
	slots := make(chan struct{}, maxNotifyCalls)
	for {
		select {
		case <-c.w.notifyWake:
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		for _, vm := range c.w.takeDueVMs(time.Now()) {
			slots <- struct{}{}
			go func() {
				defer func() { <-slots }()
				c.w.notify(ctx, vm)
			}()
		}
	}
}

// takeDueVMs returns the entry VMs to call now.
func (w *Watch) takeDueVMs(now time.Time) []turmericshed.EntryVM {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastChange == 0 {
		return nil
	}
	var vms []turmericshed.EntryVM
	for _, vm := range w.cfg.Members.Reachable() {
		t := w.deliveries[vm.Name]
		if t == nil || t.incarnation != vm.Incarnation {
			t = &delivery{incarnation: vm.Incarnation}
			w.deliveries[vm.Name] = t
		}
		if t.ackedChange < w.lastChange && !t.isSending && !now.Before(t.retryAt) {
			t.isSending = true
			vms = append(vms, vm)
		}
	}
	return vms
}

// notify tells one entry VM what it was not told, the oldest change first.
func (w *Watch) notify(ctx context.Context, vm turmericshed.EntryVM) {
	w.mu.Lock()
	t := w.deliveries[vm.Name]
	digests := make([]turmericshed.Digest, 0, len(w.requestChange))
	for d, n := range w.requestChange {
		if n > t.ackedChange {
			digests = append(digests, d)
		}
	}
	slices.SortFunc(digests, func(a, b turmericshed.Digest) int { return int(w.requestChange[a]) - int(w.requestChange[b]) })
	upTo := w.lastChange
	if len(digests) > maxRequestsPerCall {
		digests = digests[:maxRequestsPerCall]
		upTo = w.requestChange[digests[maxRequestsPerCall-1]]
	}
	m := encodeEvidence(time.Now(), w.book.Export(digests))
	w.mu.Unlock()
	err := w.call(ctx, vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
		_, err := c.Tell(ctx, connect.NewRequest(m))
		return err
	})
	w.mu.Lock()
	defer w.mu.Unlock()
	t.isSending = false
	if err != nil {
		t.retryAt = time.Now().Add(notifyRetryDelay)
		w.cfg.Log.Info("entry VM not told of quarantines", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "requests", len(digests), "error", err.Error())
		return
	}
	t.ackedChange = upTo
	if t.ackedChange < w.lastChange {
		wake(w.notifyWake)
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
