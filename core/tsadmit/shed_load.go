package tsadmit

import (
	"math"
	"time"

	"turmericshed"
)

const (
	// evidenceLife is the age at which a load report no longer counts for the
	// service. The sum over the servers is useful for longer than the report of a
	// single one.
	evidenceLife = 2 * time.Second
	// freePlaces is the part of the places that must be taken before anything is
	// refused while nothing waits.
	freePlaces = 0.5
	// beginDecay is the time constant of the mean time until requests begin.
	beginDecay = time.Second
	// minBeginWeight is the weight of recent samples from which the mean counts. One
	// late request is no evidence of an overload.
	minBeginWeight = 3
	// usualBeginFactor times the usual time without load is the least aim.
	usualBeginFactor = 1.5
	// refusedBegin is the value that counts for a request that a server refused. It is
	// below targetBegin: a server with a full queue refuses by itself, and what it has
	// accepted may begin in time.
	refusedBegin = 1.5
	// workWeight is the weight of one attempt in the mean of times and sizes.
	workWeight = 0.05
	// defaultWorkTime is the assumed time of an attempt before the first one has
	// ended.
	defaultWorkTime = time.Second
	// maxClasses bounds the urgency classes of a service.
	maxClasses = 10
	// An account has a surge when its rate over surgeShort is above surgeFactor
	// times its rate over surgeLong, with at least minSurgeRequests in surgeShort.
	surgeShort       = 2 * time.Second
	surgeLong        = 20 * time.Second
	minSurgeRequests = 4
	// accountLife is how long the rates of an idle account are retained.
	accountLife = time.Minute
)

// serviceLoad is what this entry VM knows about the servers of a service.
type serviceLoad struct {
	servers []*serverLoad
	begins  [maxClasses]decayingMean
	// usualBegins are the means of the same while the servers were not loaded.
	usualBegins [maxClasses]float64
	accounts    map[turmericshed.AccountID]*accountRate
	// objectives are the last objective of each class.
	objectives [maxClasses]time.Duration
	classes    int
	// workTime is the mean time of a complete attempt in seconds, size the mean tokens
	// of a request that was sent.
	workTime, size float64
	// share is the refused share in classes, signal the last deviation.
	share, signal       float64
	lastStep, lastSweep time.Time
}

// serverLoad is what this entry VM knows about one server.
type serverLoad struct {
	id      turmericshed.ServerID
	service string
	slots   int
	started time.Time
	// inflight and tokens are this entry VM's requests there.
	inflight int
	tokens   turmericshed.Tokens
	report   turmericshed.LoadReport
	// othersReported is the number of requests of other entry VMs in the report.
	othersReported int
}

// decayingMean is a mean in which samples lose weight with age.
type decayingMean struct {
	sum, weight float64
	at          time.Time
}

func (m *decayingMean) add(now time.Time, x float64) {
	m.decay(now)
	m.sum, m.weight = m.sum+x, m.weight+1
}

func (m *decayingMean) decay(now time.Time) {
	if d := now.Sub(m.at); d > 0 {
		f := math.Exp(-d.Seconds() / beginDecay.Seconds())
		m.sum, m.weight, m.at = m.sum*f, m.weight*f, now
	}
}

// accountRate holds the rates of an account, in requests per second.
type accountRate struct {
	short, long   float64
	at, firstSeen time.Time
}

func (a *accountRate) add(now time.Time) {
	if d := now.Sub(a.at).Seconds(); d > 0 {
		a.short *= math.Exp(-d / surgeShort.Seconds())
		a.long *= math.Exp(-d / surgeLong.Seconds())
		a.at = now
	}
	a.short += 1 / surgeShort.Seconds()
	a.long += 1 / surgeLong.Seconds()
}

// surplus returns the part of the account's requests that exceeds surgeFactor times
// its usual rate.
func (a *accountRate) surplus(now time.Time) float64 {
	if now.Sub(a.firstSeen) < surgeLong || a.short*surgeShort.Seconds() < minSurgeRequests {
		return 0
	}
	return max(1-surgeFactor*a.long/a.short, 0)
}

// service returns the state of a service.
func (s *Shedder) service(name string) *serviceLoad {
	l := s.services[name]
	if l == nil {
		l = &serviceLoad{accounts: map[turmericshed.AccountID]*accountRate{}, classes: 1}
		s.services[name] = l
	}
	return l
}

// SetServers replaces the list of servers. The places and reports of a server that
// is gone, or that has restarted, no longer count.
func (s *Shedder) SetServers(list []turmericshed.BackendServer) {
	previous := s.byServer
	s.byServer = make(map[turmericshed.ServerID]*serverLoad, len(list))
	for _, l := range s.services {
		l.servers = nil
	}
	for _, b := range list {
		x := previous[b.ID]
		if x == nil || x.service != b.Service || !x.started.Equal(b.Started) {
			x = &serverLoad{id: b.ID, service: b.Service, started: b.Started}
		}
		x.slots = max(b.Slots, 1)
		s.byServer[b.ID] = x
		if !b.Leaving {
			l := s.service(b.Service)
			l.servers = append(l.servers, x)
		}
	}
}

// Report applies a load report, unless a later one is recent. Where the clock was set
// back, or that of the report's sender is ahead, a report can be from the future; one
// that would count for long is ignored.
func (s *Shedder) Report(now time.Time, r turmericshed.LoadReport) {
	x := s.byServer[r.Server]
	if x == nil || r.At.Sub(now) > evidenceLife || !r.At.After(x.report.At) && x.isRecent(now) {
		return
	}
	x.report, x.othersReported = r, max(r.Running+r.Queued-x.inflight, 0)
}

// AttemptStarted counts a request as sent to a server.
func (s *Shedder) AttemptStarted(id turmericshed.ServerID, r turmericshed.AdmitRequest) {
	if x := s.byServer[id]; x != nil {
		x.inflight++
		x.tokens += tokensOf(r)
	}
	l := s.service(r.Service)
	l.size = movingMean(l.size, float64(tokensOf(r)))
}

// AttemptBegan records the time until a request began at a server: until the first
// event of a stream, or the answer.
func (s *Shedder) AttemptBegan(now time.Time, r turmericshed.AdmitRequest, elapsed time.Duration) {
	if r.Objective <= 0 {
		return
	}
	l, class, ratio := s.service(r.Service), classOf(r), elapsed.Seconds()/r.Objective.Seconds()
	l.begins[class].add(now, ratio)
	if !l.evidence(now).mayRefuse() {
		l.usualBegins[class] = movingMean(l.usualBegins[class], ratio)
	}
}

// targetFor returns the aim for the time until a request of a class begins, relative to
// its objective. Work that takes longer than the aim without load is not late.
func (l *serviceLoad) targetFor(class int) float64 {
	return max(targetBegin, usualBeginFactor*l.usualBegins[class])
}

// AttemptEnded reverts AttemptStarted and records the result.
func (s *Shedder) AttemptEnded(now time.Time, id turmericshed.ServerID, r turmericshed.AdmitRequest, res turmericshed.AttemptResult) {
	if x := s.byServer[id]; x != nil {
		x.inflight = max(x.inflight-1, 0)
		x.tokens = max(x.tokens-tokensOf(r), 0)
	}
	l := s.service(r.Service)
	if res.Refused {
		l.begins[classOf(r)].add(now, refusedBegin)
	}
	if res.Complete {
		l.workTime = movingMean(l.workTime, res.Elapsed.Seconds())
	}
}

func movingMean(mean, x float64) float64 {
	if mean == 0 {
		return x
	}
	return mean + workWeight*(x-mean)
}

// tokensOf returns the token memory that r needs at a server.
func tokensOf(r turmericshed.AdmitRequest) turmericshed.Tokens { return r.PromptTokens + r.MaxOutput }

// workOf returns the tokens that a server has to process for r.
func workOf(r turmericshed.AdmitRequest) float64 {
	return float64(max(tokensOf(r)-r.CachedTokens, 1))
}

func classOf(r turmericshed.AdmitRequest) int { return min(max(r.Class, 0), maxClasses-1) }

// offered records a new request, for the classes and the accounts' rates.
func (l *serviceLoad) offered(now time.Time, r turmericshed.AdmitRequest) {
	l.classes = min(max(r.Classes, 1), maxClasses)
	if r.Objective > 0 {
		l.objectives[classOf(r)] = r.Objective
	}
	a := l.accounts[r.Account]
	if a == nil {
		a = &accountRate{at: now, firstSeen: now}
		l.accounts[r.Account] = a
	}
	a.add(now)
	if now.Sub(l.lastSweep) < accountLife {
		return
	}
	l.lastSweep = now
	for id, a := range l.accounts {
		if now.Sub(a.at) >= accountLife {
			delete(l.accounts, id)
		}
	}
}

// isRecent reports whether the server's report still counts.
func (x *serverLoad) isRecent(now time.Time) bool {
	return !x.report.At.IsZero() && now.Sub(x.report.At).Abs() <= evidenceLife
}

// loadEvidence is the load of the servers with a recent report.
type loadEvidence struct {
	servers, running, queued, slots int
}

// evidence sums up the recent reports.
func (l *serviceLoad) evidence(now time.Time) loadEvidence {
	var e loadEvidence
	for _, x := range l.servers {
		if !x.isRecent(now) {
			continue
		}
		e.servers++
		e.running += x.report.Running
		e.queued += x.report.Queued
		e.slots += x.slots
	}
	return e
}

// mayRefuse reports whether the load allows refusals.
func (e loadEvidence) mayRefuse() bool {
	return e.servers > 0 && (e.queued > 0 || float64(e.running) >= freePlaces*float64(e.slots))
}

// queueTime returns how long a request waits at a server: the queue ahead over the
// rate at which work ends, which is the running requests over the time of one.
func (l *serviceLoad) queueTime(e loadEvidence) time.Duration {
	if e.queued == 0 {
		return 0
	}
	return time.Duration(float64(e.queued) / float64(max(e.running, 1)) * float64(l.meanWorkTime()))
}

func (l *serviceLoad) meanWorkTime() time.Duration {
	if l.workTime == 0 {
		return defaultWorkTime
	}
	return time.Duration(l.workTime * float64(time.Second))
}

// drainTime returns the time after which the queues of the servers are gone.
func (l *serviceLoad) drainTime(e loadEvidence) time.Duration {
	return max(l.queueTime(e), l.releaseTime())
}

// releaseTime returns the time after which one of the servers probably has ended a
// request.
func (l *serviceLoad) releaseTime() time.Duration {
	return l.meanWorkTime() / time.Duration(max(len(l.servers), 1))
}

// expectedBegin returns the expected time until r begins.
func (l *serviceLoad) expectedBegin(now time.Time, r turmericshed.AdmitRequest, objective time.Duration, e loadEvidence) time.Duration {
	return time.Duration(l.beginRatio(now, classOf(r), e, objective) * float64(objective))
}

// beginRatio returns the expected time until a request of a class begins, relative
// to its objective. For the least urgent class, which servers begin last, it is at
// least what the servers' queues suggest.
func (l *serviceLoad) beginRatio(now time.Time, class int, e loadEvidence, objective time.Duration) float64 {
	ratio := 0.0
	if class >= l.classes-1 {
		ratio = l.queueTime(e).Seconds() / max(objective.Seconds(), 0.001)
	}
	m := &l.begins[class]
	m.decay(now)
	if m.weight >= minBeginWeight {
		ratio = max(ratio, m.sum/m.weight)
	}
	return ratio
}

// step runs the controller when its interval has passed.
func (l *serviceLoad) step(now time.Time) {
	if now.Sub(l.lastStep) < shedInterval {
		return
	}
	l.lastStep = now
	e := l.evidence(now)
	if !e.mayRefuse() {
		l.signal = 0
		l.share *= shedDecay
		return
	}
	// A class is refused only while it, or a more urgent one, begins late.
	deviation, limit := -targetBegin, 0.0
	for class := l.classes - 1; class >= 0; class-- {
		if o := l.objectives[class]; o > 0 {
			d := l.beginRatio(now, class, e, o) - l.targetFor(class)
			deviation = max(deviation, d)
			if d > 0 {
				limit = float64(l.classes-class) * maxClassShare
			}
		}
	}
	deviation = min(deviation, maxShedError)
	change := shedIntegral*deviation + shedProportional*(deviation-l.signal)
	l.signal = deviation
	if change > 0 {
		change = max(min(change, limit-l.share), 0)
	}
	l.share = min(max(l.share+change, 0), float64(l.classes)*maxClassShare)
}

// shareFor returns the refused share that applies to r.
func (l *serviceLoad) shareFor(now time.Time, r turmericshed.AdmitRequest) float64 {
	class := min(classOf(r), l.classes-1)
	if a := l.accounts[r.Account]; a != nil && isSurplus(r.Content, a.surplus(now)) {
		// The surplus of an account counts as one class less urgent.
		if class == l.classes-1 {
			return min(surgeFactor*l.classShare(class), maxClassShare)
		}
		return l.classShare(class + 1)
	}
	share := l.classShare(class)
	if l.size == 0 {
		return share
	}
	// The correction vanishes at both ends, so that a class is never refused more
	// than the next, less urgent one.
	bias := math.Log2(workOf(r)/l.size) / 3
	return share + sizeBias*min(max(bias, -1), 1)*share*(maxClassShare-share)
}

// classShare returns the refused share of a class: the least urgent one first.
func (l *serviceLoad) classShare(class int) float64 {
	before := float64(l.classes-1-class) * maxClassShare
	return min(max(l.share-before, 0), maxClassShare)
}

// isSurplus chooses the given part of the contents.
func isSurplus(content uint64, part float64) bool {
	const bits = 32
	return float64(mix(content+1)>>(64-bits))/(1<<bits) < part
}
