package tsadmit_test

import (
	"math"
	"math/rand/v2"
	"slices"
	"sort"
	"strconv"
	"time"

	"turmericshed"
	"turmericshed/core/tsadmit"
)

// A simulation of many entry VMs in front of the servers of one service. Servers read
// prompts one after the other, most urgent first, and generate concurrently. They
// report their load with each answer. It replays load patterns against shedders.

const (
	simStep    = 5 * time.Millisecond
	simService = "pool"
	// simReadsPerMs and simTokenTime are the speed of a server.
	simReadsPerMs = 56
	simTokenTime  = 7 * time.Millisecond
	simDelay      = 3 * time.Millisecond
	// simShareInterval is the interval at which entry VMs share reports.
	simShareInterval = 400 * time.Millisecond
	simRestart       = 3 * time.Second
)

// simKind is a kind of request.
type simKind struct {
	name             string
	class            int
	prompt, cached   int
	output           int
	objective, limit time.Duration
	account          string
	// rate is in requests per second; factor changes it over time.
	rate   float64
	factor func(t time.Duration) float64
	// hasty is the number of immediate retries against the Retry-After; at 0 there is
	// one retry after it.
	hasty int
	// vm pins the callers to an entry VM if it is above 0.
	vm int
}

// simConfig is a load pattern.
type simConfig struct {
	seed uint64
	// seeds is the number of seeds to replay; 3 if 0.
	seeds    uint64
	vms      int
	servers  int
	slots    int
	memory   int
	maxQueue int
	kinds    []simKind
	length   time.Duration
	// admission turns the shedders on, share the exchange of reports between entry VMs.
	admission, share bool
	// crashesOverMemory makes a server that holds more than its memory, waiting requests
	// included, lose them all and stay away for simRestart.
	crashesOverMemory bool
	// noReports removes the load from all answers.
	noReports bool
	// crashAt is when the first crashed servers stop for good.
	crashAt time.Duration
	crashed int
	// stopVMAt is when the first entry VM stops.
	stopVMAt time.Duration
	// cutFrom and cutTo bound a time without sharing of reports.
	cutFrom, cutTo time.Duration
}

// simRequest is a caller's request.
type simRequest struct {
	kind     int
	content  uint64
	arrived  time.Duration
	deadline time.Duration
	tries    int
	retried  bool
	// attempt state
	vm, server             int
	sentAt, beganAt        time.Duration
	readLeft               float64
	endsAt                 time.Duration
	reading, running, done bool
	holdUntil              time.Duration
	// served is true after a complete answer, inTime if it began within its objective.
	served, inTime bool
	wasRefused     bool
	excluded       []turmericshed.ServerID
	admit          turmericshed.AdmitRequest
}

type simServer struct {
	id      turmericshed.ServerID
	queue   []*simRequest
	running []*simRequest
	down    bool
	// backAt is when a server that is down returns; 0 for never.
	backAt time.Duration
}

type simVM struct {
	shedder *tsadmit.Shedder
	loads   map[turmericshed.ServerID]turmericshed.LoadReport
	own     []int
	others  map[turmericshed.ServerID]float64
}

// simResult is what callers got.
type simResult struct {
	offered, served, inTime, refusedFirst []int
	serverRefusals                        int
	// overMemory counts the samples, one per server and step, with more tokens at a
	// server than its memory.
	overMemory                        int
	maxRetryAfter, lastRefusal        time.Duration
	inTimeByAccount, offeredByAccount map[string]int
	refusals                          int
	// cancelled counts the attempts that their callers cancelled at a server.
	cancelled int
	reasons   map[string]int
}

// lateWorth is what an answer that begins after its objective is worth to callers,
// relative to one in time.
const lateWorth = 0.4

// worth returns the answers within the time limit, late ones counted at lateWorth.
func (r simResult) worth() float64 {
	return float64(r.inTimeTotal()) + lateWorth*float64(r.servedTotal()-r.inTimeTotal())
}

func (r simResult) inTimeTotal() (n int) {
	for _, x := range r.inTime {
		n += x
	}
	return n
}

func (r simResult) servedTotal() (n int) {
	for _, x := range r.served {
		n += x
	}
	return n
}

func (r simResult) offeredTotal() (n int) {
	for _, x := range r.offered {
		n += x
	}
	return n
}

// ratio returns the part of a kind's requests that began in time.
func (r simResult) ratio(kind int) float64 {
	return float64(r.inTime[kind]) / math.Max(float64(r.offered[kind]), 1)
}

// servedRatio returns the part of a kind's requests that were served.
func (r simResult) servedRatio(kind int) float64 {
	return float64(r.served[kind]) / math.Max(float64(r.offered[kind]), 1)
}

type sim struct {
	cfg simConfig
	rng *rand.Rand
	// arrive is a generator of its own, so that arrivals don't depend on decisions.
	arrive  *rand.Rand
	base    time.Time
	now     time.Duration
	vms     []*simVM
	servers []*simServer
	later   []*simRequest
	held    []*simRequest
	res     simResult
	classes int
	nextID  uint64
}

func runSim(cfg simConfig) simResult {
	s := &sim{cfg: cfg, rng: rand.New(rand.NewPCG(cfg.seed, 7)), arrive: rand.New(rand.NewPCG(cfg.seed, 8)), base: time.Unix(1_800_000_000, 0)}
	for _, k := range cfg.kinds {
		s.classes = max(s.classes, k.class+1)
	}
	n := len(cfg.kinds)
	s.res = simResult{
		offered: make([]int, n), served: make([]int, n), inTime: make([]int, n), refusedFirst: make([]int, n),
		reasons: map[string]int{}, inTimeByAccount: map[string]int{}, offeredByAccount: map[string]int{},
	}
	var list []turmericshed.BackendServer
	for i := range cfg.servers {
		id := turmericshed.ServerID("s" + strconv.Itoa(i))
		s.servers = append(s.servers, &simServer{id: id})
		list = append(list, turmericshed.BackendServer{ID: id, Service: simService, Slots: cfg.slots, Work: turmericshed.WorkService})
	}
	for range cfg.vms {
		vm := &simVM{shedder: tsadmit.NewShedder(), loads: map[turmericshed.ServerID]turmericshed.LoadReport{}, own: make([]int, cfg.servers), others: map[turmericshed.ServerID]float64{}}
		vm.shedder.SetServers(list)
		s.vms = append(s.vms, vm)
	}
	for ; s.now < cfg.length || s.isBusy() && s.now < cfg.length+15*time.Second; s.now += simStep {
		s.step(list)
	}
	return s.res
}

// isBusy reports whether requests wait or run.
func (s *sim) isBusy() bool {
	return len(s.later)+len(s.held) > 0 || slices.ContainsFunc(s.servers, func(x *simServer) bool { return len(x.queue)+len(x.running) > 0 })
}

func (s *sim) at(t time.Duration) time.Time { return s.base.Add(t) }

func (s *sim) step(list []turmericshed.BackendServer) {
	if s.cfg.crashed > 0 && s.now == s.cfg.crashAt {
		for i := range s.cfg.crashed {
			s.crash(i)
		}
		for _, vm := range s.vms {
			vm.shedder.SetServers(list[s.cfg.crashed:])
		}
	}
	if s.now < s.cfg.length {
		s.arrivals()
	}
	due := s.later
	s.later = nil
	for _, r := range due {
		if r.sentAt <= s.now {
			s.offer(r)
		} else {
			s.later = append(s.later, r)
		}
	}
	waiting := s.held
	s.held = nil
	for _, r := range waiting {
		if r.holdUntil <= s.now {
			s.vms[r.vm].shedder.HoldEnded()
			s.send(r)
		} else {
			s.held = append(s.held, r)
		}
	}
	for i := range s.servers {
		s.serve(i)
	}
	isCut := s.now >= s.cfg.cutFrom && s.now < s.cfg.cutTo
	if s.cfg.share && !isCut && s.now%simShareInterval == 0 && !s.cfg.noReports {
		for i := range s.servers {
			if !s.servers[i].down {
				for v := range s.vms {
					s.report(v, i, s.now-simShareInterval/4)
				}
			}
		}
	}
	if s.now%(250*time.Millisecond) == 0 {
		for _, vm := range s.vms {
			vm.shedder.Step(s.at(s.now))
		}
	}
}

// crash loses a server's requests.
func (s *sim) crash(i int) {
	x := s.servers[i]
	x.down = true
	for _, r := range append(x.queue, x.running...) {
		r.done = true
		s.end(r, i, turmericshed.AttemptResult{})
	}
	x.queue, x.running = nil, nil
}

func (s *sim) arrivals() {
	for k := range s.cfg.kinds {
		kind := &s.cfg.kinds[k]
		rate := kind.rate
		if kind.factor != nil {
			rate *= kind.factor(s.now)
		}
		for n := s.poisson(rate * simStep.Seconds()); n > 0; n-- {
			s.nextID++
			r := &simRequest{kind: k, content: s.nextID * 7919, arrived: s.now, deadline: s.now + kind.limit, sentAt: s.now}
			s.res.offered[k]++
			s.res.offeredByAccount[kind.account]++
			s.offer(r)
		}
	}
}

func (s *sim) poisson(mean float64) int {
	n, p := 0, math.Exp(-mean)
	for x := s.arrive.Float64(); x > p; x *= s.arrive.Float64() {
		n++
	}
	return n
}

// offer presents a request to an entry VM.
func (s *sim) offer(r *simRequest) {
	kind := &s.cfg.kinds[r.kind]
	first := 0
	if s.cfg.stopVMAt > 0 && s.now >= s.cfg.stopVMAt {
		first = 1
	}
	r.vm = first + s.rng.IntN(len(s.vms)-first)
	if kind.vm > 0 && !r.retried {
		r.vm = kind.vm
	}
	r.sentAt, r.excluded = s.now, nil
	r.admit = turmericshed.AdmitRequest{
		Account: turmericshed.AccountID(kind.account), Service: simService, Deadline: s.at(r.deadline), Objective: kind.objective,
		PromptTokens: turmericshed.Tokens(kind.prompt), MaxOutput: turmericshed.Tokens(kind.output), CachedTokens: turmericshed.Tokens(kind.cached),
		ServerMemory: turmericshed.Tokens(s.cfg.memory), Class: kind.class, Classes: s.classes, Content: r.content,
	}
	if !s.cfg.admission {
		s.send(r)
		return
	}
	switch d := s.vms[r.vm].shedder.Decide(s.at(s.now), r.admit); d.Verdict {
	case tsadmit.Refused:
		s.res.reasons[kind.name+" "+string(d.Reason)]++
		s.refused(r, d.RetryAfter)
	case tsadmit.Queued:
		r.holdUntil = d.HoldUntil.Sub(s.base)
		s.held = append(s.held, r)
	default:
		s.send(r)
	}
}

// refused lets the caller of a refused request retry.
func (s *sim) refused(r *simRequest, after time.Duration) {
	kind := &s.cfg.kinds[r.kind]
	s.res.refusals++
	s.res.lastRefusal = s.now
	s.res.maxRetryAfter = max(s.res.maxRetryAfter, after)
	if !r.wasRefused {
		r.wasRefused = true
		s.res.refusedFirst[r.kind]++
	}
	switch {
	case r.tries < kind.hasty:
		r.tries++
		r.retried, after = true, simDelay
	case r.retried:
		return
	default:
		after = min(after, (r.deadline-s.now)/3)
		r.retried = true
	}
	r.sentAt = s.now + after + 2*simDelay
	s.later = append(s.later, r)
}

// send picks a server: the less loaded of two, in the view of the entry VM.
func (s *sim) send(r *simRequest) {
	vm := s.vms[r.vm]
	excluded := r.excluded
	if s.cfg.admission {
		excluded = append(excluded, vm.shedder.FullServers(s.at(s.now), r.admit, r.excluded)...)
	}
	best := -1
	bestLoad := math.Inf(1)
	for range 2 {
		var open []int
		for i, x := range s.servers {
			if !x.down && !slices.Contains(excluded, x.id) {
				open = append(open, i)
			}
		}
		if len(open) == 0 {
			return
		}
		i := open[s.rng.IntN(len(open))]
		load := float64(vm.own[i]) + s.others(vm, i)
		if load < bestLoad {
			best, bestLoad = i, load
		}
	}
	x := s.servers[best]
	r.server, r.beganAt, r.running, r.reading = best, 0, false, false
	if len(x.queue) >= s.cfg.maxQueue {
		s.res.serverRefusals++
		s.report(r.vm, best, s.now)
		vm.shedder.AttemptStarted(x.id, r.admit)
		vm.shedder.AttemptEnded(s.at(s.now), x.id, r.admit, turmericshed.AttemptResult{Refused: true})
		if len(r.excluded) == 0 {
			r.excluded = append(r.excluded, x.id)
			s.send(r)
			return
		}
		after := 300 * time.Millisecond
		if s.cfg.admission {
			after = vm.shedder.RetryAfter(s.at(s.now), x.id, r.admit)
		}
		s.refused(r, after)
		return
	}
	kind := &s.cfg.kinds[r.kind]
	r.readLeft = float64(kind.prompt - kind.cached)
	r.sentAt = s.now
	x.queue = s.insertByUrgency(x.queue, r)
	vm.own[best]++
	vm.shedder.AttemptStarted(x.id, r.admit)
}

// others estimates the requests of other entry VMs at a server as tsroute does: the report
// moves to the mean as it ages.
func (s *sim) others(vm *simVM, i int) float64 {
	sum := 0.0
	for _, n := range vm.others {
		sum += n
	}
	mean := sum / math.Max(float64(len(vm.others)), 1)
	rep := vm.loads[s.servers[i].id]
	weight := 1 - float64(s.at(s.now).Sub(rep.At))/float64(800*time.Millisecond)
	if rep.At.IsZero() || weight < 0 {
		weight = 0
	}
	return weight*vm.others[s.servers[i].id] + (1-weight)*mean
}

func (s *sim) report(v, i int, at time.Duration) {
	if s.cfg.noReports {
		return
	}
	x := s.servers[i]
	rep := turmericshed.LoadReport{Server: x.id, At: s.at(at), Running: len(x.running), Queued: len(x.queue)}
	s.vms[v].loads[x.id] = rep
	s.vms[v].others[x.id] = math.Max(float64(rep.Running+rep.Queued-s.vms[v].own[i]), 0)
	s.vms[v].shedder.Report(rep.At, rep)
}

// end ends the attempt of a request.
func (s *sim) end(r *simRequest, i int, res turmericshed.AttemptResult) {
	vm := s.vms[r.vm]
	vm.own[i]--
	vm.shedder.AttemptEnded(s.at(s.now), s.servers[i].id, r.admit, res)
}

// tokens returns the tokens that a server holds for its running requests.
func (s *sim) tokens(x *simServer) (n int) {
	for _, r := range x.running {
		k := &s.cfg.kinds[r.kind]
		n += k.prompt + k.output
	}
	return n
}

// insertByUrgency inserts a request after those that are at least as urgent.
func (s *sim) insertByUrgency(list []*simRequest, r *simRequest) []*simRequest {
	class := s.cfg.kinds[r.kind].class
	i := sort.Search(len(list), func(i int) bool { return s.cfg.kinds[list[i].kind].class > class })
	return slices.Insert(list, i, r)
}

// serve advances a server by one step.
func (s *sim) serve(i int) {
	x := s.servers[i]
	if x.down && x.backAt > 0 && s.now >= x.backAt {
		x.down, x.backAt = false, 0
	}
	if x.down {
		return
	}
	x.queue = slices.DeleteFunc(x.queue, func(r *simRequest) bool { return s.isGone(r, i) })
	x.running = slices.DeleteFunc(x.running, func(r *simRequest) bool { return s.isGone(r, i) })
	used := s.tokens(x)
	for len(x.queue) > 0 && len(x.running) < s.cfg.slots {
		r := x.queue[0]
		k := &s.cfg.kinds[r.kind]
		if used+k.prompt+k.output > s.cfg.memory && s.cfg.memory > 0 {
			break
		}
		used += k.prompt + k.output
		x.queue = x.queue[1:]
		x.running = s.insertByUrgency(x.running, r)
	}
	held := used
	for _, r := range x.queue {
		held += s.cfg.kinds[r.kind].prompt + s.cfg.kinds[r.kind].output
	}
	if s.cfg.memory > 0 && held > s.cfg.memory {
		s.res.overMemory++
		if s.cfg.crashesOverMemory {
			s.crash(i)
			x.backAt = s.now + simRestart
			return
		}
	}
	read := simReadsPerMs * float64(simStep.Milliseconds())
	for _, r := range x.running {
		if r.beganAt > 0 {
			continue
		}
		n := min(read, r.readLeft)
		r.readLeft -= n
		read -= n
		if r.readLeft > 0 {
			break
		}
		s.begin(r, i)
	}
	x.running = slices.DeleteFunc(x.running, func(r *simRequest) bool { return s.isComplete(r, i) })
}

func (s *sim) begin(r *simRequest, i int) {
	k := &s.cfg.kinds[r.kind]
	r.beganAt = s.now
	r.endsAt = s.now + time.Duration(k.output)*simTokenTime
	s.report(r.vm, i, s.now)
	s.vms[r.vm].shedder.AttemptBegan(s.at(s.now), r.admit, s.now-r.sentAt)
	r.inTime = s.now-r.sentAt <= k.objective
}

// isGone cancels a request whose caller has left.
func (s *sim) isGone(r *simRequest, i int) bool {
	k := &s.cfg.kinds[r.kind]
	late := r.beganAt == 0 && s.now-r.sentAt > 4*k.objective
	if s.now <= r.deadline && !late {
		return false
	}
	s.res.cancelled++
	s.end(r, i, turmericshed.AttemptResult{Elapsed: s.now - r.sentAt})
	return true
}

func (s *sim) isComplete(r *simRequest, i int) bool {
	if r.beganAt == 0 || s.now < r.endsAt {
		return false
	}
	s.end(r, i, turmericshed.AttemptResult{Elapsed: s.now - r.sentAt, Complete: true})
	k := &s.cfg.kinds[r.kind]
	r.served = true
	s.res.served[r.kind]++
	if r.inTime {
		s.res.inTime[r.kind]++
		s.res.inTimeByAccount[k.account]++
	}
	return true
}
