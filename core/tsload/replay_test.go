package tsload_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsload"
	"turmericshed/core/tsroute"
)

// The replay runs entry VMs with their routers and tables, and servers of unequal speed, in
// simulated time. Messages take networkDelay.

const (
	replayDomains  = 3
	networkDelay   = 900 * time.Microsecond
	slowSpan       = 600 * time.Millisecond
	slowShare      = 0.15
	slowFactor     = 2.5
	serverSlots    = 48
	serverMemory   = 401_557
	tokensPerMilli = 93
	stepTime       = 3290 * time.Microsecond
	cacheTokens    = 200_000
)

// kind is a kind of request.
type kind struct {
	share           float64
	own, shared     turmericshed.Tokens
	prefixes        int
	output          turmericshed.Tokens
	objective       time.Duration
	wholePromptHash bool
}

var replayKinds = []kind{
	{share: 0.35, own: 17_020, output: 119, objective: 800 * time.Millisecond, wholePromptHash: true},
	{share: 0.45, own: 500, shared: 4_000, prefixes: 60, output: 120, objective: 400 * time.Millisecond},
	{share: 0.20, own: 800, output: 40, objective: 300 * time.Millisecond},
}

// replayOptions say what the replay compares.
type replayOptions struct {
	seed      uint64
	vms       int
	servers   int
	perSecond float64
	duration  time.Duration
	// serveTime is tsroute.Config.ServeTime, workTime makes servers report their work time.
	serveTime   bool
	share       bool
	digest      bool
	workTime    bool
	evenServers bool
	// skew is the exponent by which requests concentrate on the first entry VMs; 0 spreads
	// them evenly. With 4 one entry VM of 62 receives 36%.
	skew float64
	// disturb is called at every exchange of an entry VM; false means that the exchange
	// fails. It may be nil.
	disturb func(now time.Duration, from, to int) bool
}

type event struct {
	at  time.Duration
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

type replayVM struct {
	self   turmericshed.EntryVM
	others []turmericshed.EntryVM
	router *tsroute.Router
	table  *tsload.Table
	plan   tsload.Plan
	// seen holds how far other entry VMs' tables were read, and sent how far the own one
	// was sent to them.
	seen, sent map[string]uint64
	applied    uint64
	thin       map[string]*tsload.Thinner
	active     bool
}

type replayServer struct {
	turmericshed.BackendServer
	speed    float64
	phase    time.Duration
	slow     []bool
	readFree time.Duration
	running  int
	memory   turmericshed.Tokens
	waiting  []func()
	cache    map[uint64]turmericshed.Tokens
	order    []uint64
	cached   turmericshed.Tokens
}

type replay struct {
	o      replayOptions
	rng    *rand.Rand
	now    time.Duration
	events eventHeap
	seq    int
	vms    []*replayVM
	fleet  []*replayServer
	// hasBeenRead holds the shared prompt parts that a server has read.
	hasBeenRead map[uint64]bool
	result      replayResult
}

// replayResult is what callers and the network saw.
type replayResult struct {
	firstBytes []time.Duration
	asked      int
	inTime     int
	calls      int
	readings   int
	digests    int
	distant    int
	// left counts the requests that went to a server of another failure domain.
	left int
	// reread counts the tokens of shared prompt parts that a server read although another
	// server, or itself, had read them before.
	reread turmericshed.Tokens
}

func (r replayResult) quantile(q float64) time.Duration {
	s := slices.Clone(r.firstBytes)
	slices.Sort(s)
	return s[min(int(q*float64(len(s))), len(s)-1)]
}

func (r replayResult) mean() time.Duration {
	var sum time.Duration
	for _, d := range r.firstBytes {
		sum += d
	}
	return sum / time.Duration(len(r.firstBytes))
}

func (r replayResult) String() string {
	return fmt.Sprintf("asked %d, in time %.4f, first byte mean %s p50 %s p95 %s p99 %s; calls %d, readings %d, digests %d with %d readings, left %.2f, reread %d tokens", r.asked, r.share(),
		r.mean().Round(time.Millisecond), r.quantile(0.5).Round(time.Millisecond), r.quantile(0.95).Round(time.Millisecond), r.quantile(0.99).Round(time.Millisecond), r.calls, r.readings, r.digests, r.distant, float64(r.left)/float64(r.asked), r.reread)
}

func (r replayResult) share() float64 { return float64(r.inTime) / float64(r.asked) }

var replayEpoch = time.Unix(1_800_000_000, 0)

func (w *replay) time() time.Time { return replayEpoch.Add(w.now) }

func (w *replay) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.events, event{w.now + d, w.seq, run})
}

func runReplay(o replayOptions) replayResult {
	w := &replay{o: o, rng: rand.New(rand.NewPCG(o.seed, 2)), hasBeenRead: map[uint64]bool{}}
	var list []turmericshed.BackendServer
	for i := range o.servers {
		s := &replayServer{BackendServer: turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprintf("i-%08x", w.rng.Uint32())), Work: turmericshed.WorkService, Service: "pool", Slots: serverSlots,
			FailureDomain: turmericshed.FailureDomain(fmt.Sprint("zone-", i%replayDomains)),
		}, speed: []float64{0.6, 1, 1.6}[w.rng.IntN(3)], phase: time.Duration(w.rng.Int64N(int64(slowSpan))), cache: map[uint64]turmericshed.Tokens{}}
		for range int((o.duration+20*time.Second)/slowSpan) + 2 {
			s.slow = append(s.slow, w.rng.Float64() < slowShare)
		}
		if o.evenServers {
			s.speed = 1
			clear(s.slow)
		}
		w.fleet = append(w.fleet, s)
		list = append(list, s.BackendServer)
	}
	w.addVMs(list)
	for at := time.Duration(0); at < o.duration; {
		// Waves of demand: between 0.4 and 1.6 times the mean, with a period of 9 s.
		rate := o.perSecond * (1 + 0.6*math.Sin(2*math.Pi*at.Seconds()/9))
		at += time.Duration(w.rng.ExpFloat64() / rate * float64(time.Second))
		heap.Push(&w.events, event{at, w.nextSeq(), w.request})
	}
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		if w.now > o.duration+15*time.Second {
			break
		}
		e.run()
	}
	return w.result
}

func (w *replay) nextSeq() int {
	w.seq++
	return w.seq
}

func (w *replay) addVMs(list []turmericshed.BackendServer) {
	var all []turmericshed.EntryVM
	for i := range w.o.vms {
		name := fmt.Sprint("vm-", i)
		all = append(all, turmericshed.EntryVM{Name: name, Incarnation: turmericshed.Incarnation("inc-" + name), FailureDomain: turmericshed.FailureDomain(fmt.Sprint("zone-", i%replayDomains)), Capacity: 0.144 + 0.1*float64(i%7)})
	}
	for i := range all {
		v := &replayVM{self: all[i], table: tsload.NewTable(), seen: map[string]uint64{}, sent: map[string]uint64{}, thin: map[string]*tsload.Thinner{}}
		v.others = slices.Delete(slices.Clone(all), i, i+1)
		v.router = tsroute.New(tsroute.Config{FailureDomain: v.self.FailureDomain, Homes: 1, ServeTime: w.o.serveTime, Rand: rand.New(rand.NewPCG(w.o.seed, uint64(i)+9))})
		v.router.SetServers(w.time(), list)
		w.vms = append(w.vms, v)
		if w.o.share {
			inDomain := w.o.vms / replayDomains
			w.after(time.Duration(w.rng.Int64N(int64(tsload.Interval(inDomain)))), func() { w.exchange(i, tsload.Interval(inDomain)) })
		}
		if w.o.digest {
			w.after(time.Duration(w.rng.Int64N(int64(tsload.DigestInterval))), func() { w.exchangeDigests(i) })
		}
	}
}

// exchange is one round of an entry VM.
func (w *replay) exchange(i int, interval time.Duration) {
	v := w.vms[i]
	defer w.after(interval, func() { w.exchange(i, interval) })
	g, ok := v.plan.Gatherer(w.time(), v.self, slices.Clone(v.others))
	if ok && g.Name != v.self.Name && v.active {
		v.active = false
		j := w.index(g.Name)
		w.result.calls++
		if w.o.disturb != nil && !w.o.disturb(w.now, i, j) {
			v.plan.Failed(w.time(), g)
		} else {
			v.plan.Answered(g)
			up, last := v.table.Since(w.time(), v.sent[g.Name], g.Name)
			v.sent[g.Name] = last
			t := w.vms[j].table
			t.Merge(w.time(), v.self.Name, up)
			down, seen := t.Since(w.time(), v.seen[g.Name], v.self.Name)
			v.seen[g.Name] = seen
			v.table.Merge(w.time(), g.Name, down)
			w.result.readings += len(up) + len(down)
		}
	}
	w.apply(v)
}

func (w *replay) apply(v *replayVM) {
	readings, last := v.table.RelayedSince(v.applied)
	v.applied = last
	for _, r := range readings {
		v.router.Report(w.time(), r)
	}
}

func (w *replay) exchangeDigests(i int) {
	v := w.vms[i]
	defer w.after(tsload.DigestInterval, func() { w.exchangeDigests(i) })
	if g, ok := v.plan.Gatherer(w.time(), v.self, slices.Clone(v.others)); !ok || g.Name != v.self.Name {
		return
	}
	for _, d := range v.plan.Distant(w.time(), v.self, slices.Clone(v.others)) {
		o := w.vms[w.index(d.Name)]
		if w.o.disturb != nil && !w.o.disturb(w.now, i, w.index(d.Name)) {
			v.plan.Failed(w.time(), d)
			continue
		}
		w.result.digests++
		mine, theirs := v.thinner(string(d.FailureDomain)), o.thinner(string(v.self.FailureDomain))
		up := mine.Thin(w.time(), v.table.Local(w.time()))
		theirs.Received(w.time(), up)
		o.table.MergeDigest(w.time(), v.self.Name, up)
		down := theirs.Thin(w.time(), o.table.Local(w.time()))
		mine.Received(w.time(), down)
		v.table.MergeDigest(w.time(), d.Name, down)
		w.result.distant += len(up) + len(down)
	}
}

func (v *replayVM) thinner(domain string) *tsload.Thinner {
	if v.thin[domain] == nil {
		v.thin[domain] = &tsload.Thinner{}
	}
	return v.thin[domain]
}

func (w *replay) index(name string) int {
	return slices.IndexFunc(w.vms, func(v *replayVM) bool { return v.self.Name == name })
}

// request is the arrival of one caller's request.
func (w *replay) request() {
	i := w.rng.IntN(len(w.vms))
	if w.o.skew > 0 {
		i = int(float64(len(w.vms)) * math.Pow(w.rng.Float64(), w.o.skew))
	}
	v := w.vms[i]
	v.active = true
	x, k := w.rng.Float64(), 0
	for k < len(replayKinds)-1 && x >= replayKinds[k].share {
		x -= replayKinds[k].share
		k++
	}
	kd := replayKinds[k]
	req := turmericshed.RouteRequest{
		Work: turmericshed.WorkService, Service: "pool", Cost: kd.own + kd.shared + kd.output, PromptTokens: kd.own + kd.shared, PrefixTokens: kd.shared,
		MaxOutput: kd.output, MemoryTokens: serverMemory, FirstByteWithin: kd.objective, Estimate: &turmericshed.RouteEstimate{},
	}
	if kd.shared > 0 {
		// Popular prefixes are asked for more often.
		req.Prefix = 1 + uint64(float64(kd.prefixes)*math.Pow(w.rng.Float64(), 2))
	}
	if kd.wholePromptHash {
		req.Prefix, req.PrefixTokens = w.rng.Uint64(), req.PromptTokens
	}
	w.result.asked++
	began := w.now
	b, err := v.router.Pick(w.time(), req)
	if err != nil {
		return
	}
	s := w.fleet[slices.IndexFunc(w.fleet, func(s *replayServer) bool { return s.ID == b.ID })]
	if b.FailureDomain != v.self.FailureDomain {
		w.result.left++
	}
	w.after(networkDelay, func() { w.arrive(v, s, req, kd, began) })
}

// arrive queues a request at its server.
func (w *replay) arrive(v *replayVM, s *replayServer, req turmericshed.RouteRequest, kd kind, began time.Duration) {
	s.waiting = append(s.waiting, func() { w.serve(v, s, req, kd, began) })
	w.admit(s)
}

// admit begins waiting requests while a slot is free.
func (w *replay) admit(s *replayServer) {
	for len(s.waiting) > 0 && s.running < serverSlots && s.memory < serverMemory {
		run := s.waiting[0]
		s.waiting = s.waiting[1:]
		run()
	}
}

func (w *replay) serve(v *replayVM, s *replayServer, req turmericshed.RouteRequest, kd kind, began time.Duration) {
	s.running++
	s.memory += req.PromptTokens + req.MaxOutput
	unread := req.PromptTokens
	if kd.shared > 0 {
		if _, ok := s.cache[req.Prefix]; ok {
			unread -= kd.shared
		} else if w.hasBeenRead[req.Prefix] {
			w.result.reread += kd.shared
		}
		w.hasBeenRead[req.Prefix] = true
		s.store(req.Prefix, kd.shared)
	}
	readAt := s.advance(max(w.now, s.readFree), time.Duration(float64(unread)/tokensPerMilli*float64(time.Millisecond)))
	s.readFree = readAt
	firstAt := s.advance(readAt, stepTime)
	doneAt := s.advance(firstAt, time.Duration(kd.output)*stepTime)
	w.after(firstAt-w.now, func() {
		rep := turmericshed.LoadReport{Server: s.ID, At: w.time(), Running: s.running, Queued: len(s.waiting)}
		if w.o.workTime {
			rep.WorkTime = 1
			if s.isSlow(w.now) {
				rep.WorkTime = slowFactor
			}
		}
		w.after(networkDelay, func() { w.firstByte(v, rep, req, kd, began) })
	})
	w.after(doneAt-w.now, func() {
		s.running--
		s.memory -= req.PromptTokens + req.MaxOutput
		w.admit(s)
		w.after(networkDelay, func() {
			v.router.Done(w.time(), s.ID, req, turmericshed.DispatchResult{FirstByte: firstAt - began + networkDelay, Elapsed: w.now - began})
		})
	})
}

// firstByte is the arrival of the answer's beginning at the entry VM.
func (w *replay) firstByte(v *replayVM, rep turmericshed.LoadReport, req turmericshed.RouteRequest, kd kind, began time.Duration) {
	rep.At = w.time()
	v.router.Report(w.time(), rep)
	v.table.Take(w.time(), rep)
	v.router.FirstByte(w.time(), rep.Server, req)
	w.result.firstBytes = append(w.result.firstBytes, w.now-began)
	if w.now-began <= kd.objective {
		w.result.inTime++
	}
}

// store adds a prefix to the cache and drops the least recently used ones.
func (s *replayServer) store(prefix uint64, tokens turmericshed.Tokens) {
	if i := slices.Index(s.order, prefix); i >= 0 {
		s.order = append(slices.Delete(s.order, i, i+1), prefix)
		return
	}
	s.cache[prefix] = tokens
	s.order = append(s.order, prefix)
	for s.cached += tokens; s.cached > cacheTokens; s.order = s.order[1:] {
		s.cached -= s.cache[s.order[0]]
		delete(s.cache, s.order[0])
	}
}

func (s *replayServer) isSlow(at time.Duration) bool {
	return s.slow[min(int((at+s.phase)/slowSpan), len(s.slow)-1)]
}

// advance returns when work that takes d on a server of the usual speed ends.
func (s *replayServer) advance(at, d time.Duration) time.Duration {
	left := float64(d) / s.speed
	for {
		factor := 1.0
		if s.isSlow(at) {
			factor = slowFactor
		}
		spanEnd := ((at+s.phase)/slowSpan+1)*slowSpan - s.phase
		if need := left * factor; at+time.Duration(need) <= spanEnd {
			return at + time.Duration(need)
		}
		left -= float64(spanEnd-at) / factor
		at = spanEnd
	}
}

// replayOf returns the options of a replay that most tests use.
func replayOf(change func(*replayOptions)) replayOptions {
	o := replayOptions{seed: 1, vms: 62, servers: 90, perSecond: 330, duration: 15 * time.Second}
	change(&o)
	return o
}

// Guards against a choice by requests per slot where servers differ in speed: callers then
// wait for slow servers while fast ones are idle.
func TestUnevenServers(t *testing.T) {
	for _, perSecond := range []float64{330, 600} {
		t.Run(fmt.Sprint(perSecond, " requests per second"), func(t *testing.T) {
			before := runReplay(replayOf(func(o *replayOptions) { o.perSecond = perSecond }))
			alone := runReplay(replayOf(func(o *replayOptions) { o.perSecond, o.workTime = perSecond, true }))
			shared := runReplay(replayOf(func(o *replayOptions) {
				o.perSecond, o.workTime, o.share, o.digest = perSecond, true, true, true
			}))
			t.Log("before: ", before)
			t.Log("alone:  ", alone)
			t.Log("shared: ", shared)
			for _, r := range []replayResult{alone, shared} {
				assert.Assert(t, 1-r.share() < 0.6*(1-before.share()), "late first bytes: %.4f, before %.4f", 1-r.share(), 1-before.share())
				assert.Assert(t, r.mean() < before.mean()*4/5, "mean time to the first byte: %s, before %s", r.mean(), before.mean())
				assertFewRereads(t, r, before)
			}
			assert.Assert(t, 1-shared.share() < 1.25*(1-alone.share())+0.003, "sharing must not make entry VMs choose the same servers together")
		})
	}
}

// assertFewRereads checks that servers don't read clearly more tokens of shared prompt parts
// a second time than with the choice by requests per slot.
func assertFewRereads(t *testing.T, r, before replayResult) {
	t.Helper()
	assert.Assert(t, float64(r.reread) <= 1.15*float64(before.reread), "tokens read again: %d, before %d", r.reread, before.reread)
}

// Guards against prefixes that leave their homes when an entry VM knows of much work there:
// reading them again delays all requests at the other server.
func TestSkewedDemandKeepsHomes(t *testing.T) {
	before := runReplay(replayOf(func(o *replayOptions) { o.skew, o.perSecond = 4, 600 }))
	after := runReplay(replayOf(func(o *replayOptions) { o.skew, o.perSecond, o.workTime, o.share, o.digest = 4, 600, true, true, true }))
	t.Log("before: ", before)
	t.Log("after:  ", after)
	assertFewRereads(t, after, before)
	assert.Assert(t, after.mean() < before.mean()*4/5 && 1-after.share() < 0.6*(1-before.share()))
}

// Guards against a choice that relies on the work time: servers of a deployment that asks
// for admission may not report it.
func TestUnevenServersWithoutWorkTime(t *testing.T) {
	before := runReplay(replayOf(func(*replayOptions) {}))
	after := runReplay(replayOf(func(o *replayOptions) { o.serveTime, o.share = true, true }))
	t.Log("before: ", before)
	t.Log("after:  ", after)
	assert.Assert(t, 1-after.share() < 0.7*(1-before.share()), "%.4f, before %.4f", 1-after.share(), 1-before.share())
	assertFewRereads(t, after, before)
}

// Guards against harm where servers do not differ.
func TestEvenServers(t *testing.T) {
	before := runReplay(replayOf(func(o *replayOptions) { o.evenServers = true }))
	after := runReplay(replayOf(func(o *replayOptions) { o.evenServers, o.workTime, o.share, o.digest = true, true, true, true }))
	t.Log("before: ", before)
	t.Log("after:  ", after)
	assert.Assert(t, after.share() > before.share()-0.003 && after.mean() < before.mean()*21/20)
}

// Guards against sharing that makes the choice worse while it is disturbed: entry VMs must
// be no worse off than with what they hear themselves.
func TestDisturbedSharing(t *testing.T) {
	alone := runReplay(replayOf(func(o *replayOptions) { o.workTime = true }))
	for name, disturb := range map[string]func(now time.Duration, from, to int) bool{
		"every gatherer is silent":  func(time.Duration, int, int) bool { return false },
		"gatherers come and go":     func(now time.Duration, _, to int) bool { return int(now/time.Second+time.Duration(to))%2 == 0 },
		"a failure domain is apart": func(_ time.Duration, from, to int) bool { return (from%replayDomains == 0) == (to%replayDomains == 0) },
	} {
		t.Run(name, func(t *testing.T) {
			r := runReplay(replayOf(func(o *replayOptions) { o.workTime, o.share, o.digest, o.disturb = true, true, true, disturb }))
			assert.Assert(t, 1-r.share() < 1.25*(1-alone.share())+0.003, "%s; alone %s", r, alone)
		})
	}
}
