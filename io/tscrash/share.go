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
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const (
	// aggregatorKey is the key by which entry VMs are ranked to select the aggregators,
	// the entry VMs that collect the evidence of the whole fleet.
	aggregatorKey   = "crashes"
	aggregatorCount = 3
	// maxReportRounds bounds the rounds of one report. Each round replaces the
	// aggregators that did not answer by the next entry VMs of the ranking.
	maxReportRounds = 3
	// reportBatchDelay is how long evidence is collected for one call, since a server
	// that terminates usually runs many requests.
	reportBatchDelay = 30 * time.Millisecond
	// callTimeout is the timeout of a call to another entry VM.
	callTimeout = 600 * time.Millisecond
	// congestedCallTimeout replaces callTimeout while the local network link is congested.
	congestedCallTimeout = 2 * time.Second
	// notifyInterval is the time between checks for entry VMs that have not received
	// all changes.
	notifyInterval = 500 * time.Millisecond
	// notifyRetryDelay is the delay before an entry VM that did not answer is called
	// again.
	notifyRetryDelay = time.Second
	// maxConcurrentCalls bounds the concurrent notifications, and the concurrent
	// questions for answers. Those to entry VMs behind a cut take the whole callTimeout.
	maxConcurrentCalls = 64
	// maxRequestsPerCall bounds the requests in one call.
	maxRequestsPerCall = 256
)

// delivery is the progress of notifying another entry VM.
type delivery struct {
	// incarnation is the process of the entry VM that is notified; a new one starts over.
	incarnation turmericshed.Incarnation
	// ackedChange is the number of the last change that the entry VM acknowledged.
	ackedChange uint64
	// isSending is true while a call to the entry VM runs.
	isSending bool
	// retryAt is the earliest time of the next call after one without an answer; zero
	// after an answer.
	retryAt time.Time
}

// Handler returns the path and handler of the calls from other entry VMs.
func (w *Watch) Handler() (string, http.Handler) {
	return tspeerapi.NewCrashServiceHandler(service{w})
}

// service answers the calls from other entry VMs.
type service struct{ w *Watch }

// Report merges the evidence of another entry VM as an aggregator, and returns the
// merged evidence about the same requests.
func (s service) Report(_ context.Context, r *connect.Request[tspeerapi.CrashEvidence]) (*connect.Response[tspeerapi.CrashEvidence], error) {
	now := time.Now()
	evidence := decodeEvidence(now, r.Msg)
	s.w.mu.Lock()
	defer s.w.mu.Unlock()
	changed := s.w.book.Merge(evidence)
	s.w.recordChanges(now, changed, r.Peer().Addr)
	s.w.queueBlocked(now, changed)
	s.w.wakeConfirmer()
	digests := make([]turmericshed.Digest, 0, len(evidence))
	for _, e := range evidence {
		digests = append(digests, e.Digest)
	}
	return connect.NewResponse(encodeEvidence(now, s.w.book.Export(digests))), nil
}

// Tell merges the evidence that an aggregator sends.
func (s service) Tell(_ context.Context, r *connect.Request[tspeerapi.CrashEvidence]) (*connect.Response[tspeerapi.TellResponse], error) {
	s.w.mergeFrom(time.Now(), r.Msg, r.Peer().Addr)
	return connect.NewResponse(&tspeerapi.TellResponse{}), nil
}

// mergeFrom merges the evidence of another entry VM into the book.
func (w *Watch) mergeFrom(now time.Time, m *tspeerapi.CrashEvidence, from string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.recordChanges(now, w.book.Merge(decodeEvidence(now, m)), from)
}

// queueBlocked queues the evidence about blocked requests for all other entry VMs and
// for the store. A request that was queued before is queued again even if it is no longer
// blocked, so that they receive the clearance too. w.mu is held.
func (w *Watch) queueBlocked(now time.Time, evidence []tspoison.Evidence) {
	for _, e := range evidence {
		if w.requestChange[e.Digest] == 0 && !now.Before(e.BlockedUntil()) {
			continue
		}
		w.lastChange++
		w.requestChange[e.Digest] = w.lastChange
		w.unsaved[e.Digest] = true
		wake(w.notifyWake)
		wake(w.persistWake)
	}
}

// reporter sends the unreported evidence to the aggregators.
type reporter struct{ w *Watch }

// String names the controller in the supervisor's log.
func (reporter) String() string { return "crash reporter" }

// Serve sends reports until ctx ends.
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

// report sends the unreported evidence to the aggregators. An aggregator that does not
// answer is replaced by the next entry VM of the ranking.
func (w *Watch) report(ctx context.Context) {
	w.mu.Lock()
	digests := slices.Collect(maps.Keys(w.unreported))
	clear(w.unreported)
	w.mu.Unlock()
	self := w.cfg.Members.Self()
	ranked := tspreference.RankByKey(append(w.cfg.Members.Reachable(), self), aggregatorKey)
	for batch := range slices.Chunk(digests, maxRequestsPerCall) {
		remaining, missing := ranked, aggregatorCount
		for round := 0; round < maxReportRounds && missing > 0 && len(remaining) > 0; round++ {
			n := min(missing, len(remaining))
			missing -= w.reportTo(ctx, self, remaining[:n], batch)
			remaining = remaining[n:]
		}
		if missing == aggregatorCount {
			w.cfg.Log.Error("no aggregator accepted evidence about terminated servers", "requests", len(batch))
		}
	}
}

// reportTo sends evidence to the given entry VMs concurrently and returns how many
// accepted it.
func (w *Watch) reportTo(ctx context.Context, self turmericshed.EntryVM, vms []turmericshed.EntryVM, digests []turmericshed.Digest) int {
	accepted := make([]bool, len(vms))
	var calls sync.WaitGroup
	for i, vm := range vms {
		if vm.Name == self.Name {
			w.mu.Lock()
			w.queueBlocked(time.Now(), w.book.Export(digests))
			w.wakeConfirmer()
			w.mu.Unlock()
			accepted[i] = true
			continue
		}
		calls.Go(func() {
			m := w.encodeCurrentEvidence(digests)
			err := w.call(ctx, vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
				resp, err := c.Report(ctx, connect.NewRequest(m))
				if err == nil {
					w.mergeFrom(time.Now(), resp.Msg, vm.Name)
				}
				return err
			})
			if err != nil {
				w.cfg.Log.Info("entry VM did not accept evidence as an aggregator", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "error", err.Error())
			}
			accepted[i] = err == nil
		})
	}
	calls.Wait()
	n := 0
	for _, ok := range accepted {
		if ok {
			n++
		}
	}
	return n
}

// encodeCurrentEvidence returns the current evidence about the given requests as a message.
func (w *Watch) encodeCurrentEvidence(digests []turmericshed.Digest) *tspeerapi.CrashEvidence {
	w.mu.Lock()
	defer w.mu.Unlock()
	return encodeEvidence(time.Now(), w.book.Export(digests))
}

// call runs f with a client of another entry VM and with the timeout of a call.
func (w *Watch) call(ctx context.Context, vm turmericshed.EntryVM, f func(context.Context, tspeerapi.CrashServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, turmericshed.LinkTimeout(w.cfg.Link, callTimeout, congestedCallTimeout))
	defer cancel()
	hc, base := w.cfg.Peers.Client(vm.PeerAddr)
	return f(ctx, tspeerapi.NewCrashServiceClient(hc, base, tspeer.BoundAnswers()))
}

// notifier sends the evidence that this entry VM has aggregated to every other entry
// VM, until each of them has acknowledged it.
type notifier struct{ w *Watch }

// String names the controller in the supervisor's log.
func (notifier) String() string { return "crash teller" }

// Serve sends notifications until ctx ends.
func (c notifier) Serve(ctx context.Context) error {
	ticker := time.NewTicker(notifyInterval)
	defer ticker.Stop()
	slots := make(chan struct{}, maxConcurrentCalls)
	for {
		select {
		case <-c.w.notifyWake:
		case <-ticker.C:
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

// takeDueVMs returns the entry VMs to notify now and marks them as being called.
func (w *Watch) takeDueVMs(now time.Time) []turmericshed.EntryVM {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lastChange == 0 {
		return nil
	}
	// Entry VMs that did not answer last come last: they must not delay the others.
	var vms, silent []turmericshed.EntryVM
	for _, vm := range w.cfg.Members.Reachable() {
		d := w.deliveries[vm.Name]
		if d == nil || d.incarnation != vm.Incarnation {
			d = &delivery{incarnation: vm.Incarnation}
			w.deliveries[vm.Name] = d
		}
		if d.ackedChange < w.lastChange && !d.isSending && !now.Before(d.retryAt) {
			d.isSending = true
			if d.retryAt.IsZero() {
				vms = append(vms, vm)
			} else {
				silent = append(silent, vm)
			}
		}
	}
	return append(vms, silent...)
}

// notify sends one entry VM the changes that it has not acknowledged, the oldest first.
func (w *Watch) notify(ctx context.Context, vm turmericshed.EntryVM) {
	w.mu.Lock()
	to := w.deliveries[vm.Name]
	digests := make([]turmericshed.Digest, 0, len(w.requestChange))
	for d, n := range w.requestChange {
		if n > to.ackedChange {
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
	to.isSending = false
	if err != nil {
		to.retryAt = time.Now().Add(notifyRetryDelay)
		w.cfg.Log.Info("entry VM did not acknowledge quarantines; retrying", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "requests", len(digests), "error", err.Error())
		return
	}
	to.ackedChange, to.retryAt = upTo, time.Time{}
	if to.ackedChange < w.lastChange {
		wake(w.notifyWake)
	}
}

func encodeEvidence(now time.Time, evidence []tspoison.Evidence) *tspeerapi.CrashEvidence {
	m := &tspeerapi.CrashEvidence{}
	for _, e := range evidence {
		r := &tspeerapi.RequestEvidence{Digest: string(e.Digest)}
		if !e.ClearedAt.IsZero() {
			r.Cleared, r.ClearedAgoUs, r.ClearedBy = true, now.Sub(e.ClearedAt).Microseconds(), e.ClearedBy
		}
		r.Depth = int32(e.Depth) //nolint:gosec // at most the number of parts in a prompt.
		if !e.ConfirmedAt.IsZero() {
			r.Confirmed, r.ConfirmedAgoUs = true, now.Sub(e.ConfirmedAt).Microseconds()
		}
		for _, c := range e.Crashes {
			end := &tspeerapi.ServerEnd{Server: string(c.Server), AgoUs: now.Sub(c.At).Microseconds(), Request: string(c.Request), OnlyHead: c.OnlyHead}
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
		e := tspoison.Evidence{Digest: turmericshed.Digest(r.Digest), Depth: int(r.Depth)}
		if r.Cleared {
			e.ClearedAt, e.ClearedBy = ago(now, r.ClearedAgoUs), r.ClearedBy
		}
		if r.Confirmed {
			e.ConfirmedAt = ago(now, r.ConfirmedAgoUs)
		}
		for _, end := range r.Ends {
			c := tspoison.Crash{Server: turmericshed.ServerID(end.Server), At: ago(now, end.AgoUs), Request: turmericshed.Digest(end.Request), OnlyHead: end.OnlyHead}
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

// ago returns the time that lies us microseconds before now.
func ago(now time.Time, us int64) time.Time { return now.Add(-time.Duration(us) * time.Microsecond) }
