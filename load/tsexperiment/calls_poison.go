package tsexperiment

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"turmericshed"
	"turmericshed/core/tspoison"
	"turmericshed/core/tsroute"
)

const (
	poisonVMs      = 3
	poisonServers  = 6
	poisonRequests = 40
	poisonRounds   = 200
	poisonQuick    = 40
	poisonDigest   = turmericshed.Digest("poison")
)

// PoisonResult holds the figures of one request that crashes each server that
// runs it, in one failure domain.
type PoisonResult struct {
	System string `json:"system"`
	// How the attempts come: one after the other, or at the same moment.
	Arrival string `json:"arrival"`
	Rounds  int    `json:"rounds"`
	// Crashes are the most of any round.
	CrashesByPoison int     `json:"crashes_by_poison"`
	CrashesMean     float64 `json:"crashes_mean"`
	// InnocentRefused is the share of other requests that were refused.
	InnocentRefused float64 `json:"innocent_refused_share"`
	InnocentBarred  int     `json:"innocent_barred"`
}

func (r *CallsReport) joinPoison(results []PoisonResult) {
	r.Poison = results
	for _, p := range results {
		if p.System == poisonOwn {
			r.CrashesByPoison = max(r.CrashesByPoison, p.CrashesByPoison)
		}
	}
}

// The systems that are compared: the product, the product with servers picked
// at random, evidence kept to one entry VM, and nothing.
const (
	poisonOwn    = "quarantine"
	poisonRandom = "quarantine_random_servers"
	poisonOneVM  = "one_vm_only"
	poisonNone   = "none"
)

func runPoison(o Options) []PoisonResult {
	rounds := poisonRounds
	if o.Quick {
		rounds = poisonQuick
	}
	var out []PoisonResult
	for _, together := range []bool{false, true} {
		for _, system := range []string{poisonOwn, poisonRandom, poisonOneVM, poisonNone} {
			out = append(out, poisonRun(o.Seed, rounds, system, together))
		}
	}
	return out
}

// poisonRound is one failure domain with a poison among other requests.
type poisonRound struct {
	r        *rand.Rand
	now      time.Time
	system   string
	vms      []*tspoison.Tracker
	routers  []*tsroute.Router
	running  map[turmericshed.ServerID][]poisonAttempt
	crashes  int
	innocent int
	refused  int
	barred   map[turmericshed.Digest]bool
}

type poisonAttempt struct {
	vm     int
	digest turmericshed.Digest
	ends   time.Time
	route  turmericshed.RouteRequest
}

func poisonRun(seed uint64, rounds int, system string, together bool) PoisonResult {
	res := PoisonResult{System: system, Arrival: "one_after_the_other", Rounds: rounds}
	if together {
		res.Arrival = "at_the_same_moment"
	}
	r := rand.New(rand.NewPCG(seed, 4))
	total, innocent, refused := 0, 0, 0
	for range rounds {
		p := &poisonRound{
			r: r, now: time.Unix(1_700_000_000, 0), system: system,
			running: map[turmericshed.ServerID][]poisonAttempt{}, barred: map[turmericshed.Digest]bool{},
		}
		for range poisonVMs {
			p.vms = append(p.vms, tspoison.NewTracker())
			p.routers = append(p.routers, newPoisonRouter(p.now, r))
		}
		p.run(together)
		total += p.crashes
		innocent += p.innocent
		refused += p.refused
		res.InnocentBarred += len(p.barred)
		res.CrashesByPoison = max(res.CrashesByPoison, p.crashes)
	}
	res.CrashesMean = round(float64(total) / float64(rounds))
	res.InnocentRefused = round(float64(refused) / float64(innocent))
	return res
}

// run sends other requests all the time, and the poison again and again
// through any entry VM, alone or three times at once.
func (p *poisonRound) run(together bool) {
	for step := range poisonRequests {
		for range 4 {
			p.send(turmericshed.Digest(fmt.Sprint("request-", p.r.IntN(30))))
		}
		if step%3 == 0 {
			n := 1
			if together {
				n = poisonVMs
			}
			for vm := range n {
				p.sendThrough((vm+p.r.IntN(poisonVMs))%poisonVMs, poisonDigest)
			}
		}
		p.advance(4 * time.Second)
	}
}

func (p *poisonRound) send(d turmericshed.Digest) {
	p.sendThrough(p.r.IntN(poisonVMs), d)
}

func (p *poisonRound) sendThrough(vm int, d turmericshed.Digest) {
	if d != poisonDigest {
		p.innocent++
	}
	s, route, ok := p.pick(vm, d)
	if !ok {
		return
	}
	if p.system != poisonNone {
		err := p.admit(vm, d, s)
		if err != nil {
			if d != poisonDigest {
				p.refused++
				if turmericshed.KindOf(err) == turmericshed.KindQuarantined {
					p.barred[d] = true
				}
			}
			p.routers[vm].Done(p.now, s, route, turmericshed.DispatchResult{Err: err})
			return
		}
	}
	took := time.Duration(1+p.r.IntN(6)) * time.Second
	p.running[s] = append(p.running[s], poisonAttempt{vm: vm, digest: d, ends: p.now.Add(took), route: route})
}

func newPoisonRouter(now time.Time, r *rand.Rand) *tsroute.Router {
	router := tsroute.New(tsroute.Config{Self: "fd", Rand: r})
	var servers []turmericshed.BackendServer
	for i := range poisonServers {
		servers = append(servers, turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprint("s-", i)), FailureDomain: "fd", Work: turmericshed.WorkAssistant,
			Models: []turmericshed.Model{"m"}, Slots: 16,
		})
	}
	router.SetServers(now, servers)
	return router
}

// pick chooses a server, by the hash of the request unless at random.
func (p *poisonRound) pick(vm int, d turmericshed.Digest) (turmericshed.ServerID, turmericshed.RouteRequest, bool) {
	route := turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: "m", Cost: 100}
	if p.system != poisonRandom {
		route.Prefix = xxhash.Sum64String(string(d))
	}
	s, err := p.routers[vm].Pick(p.now, route)
	return s.ID, route, err == nil
}

// admit starts an attempt; with the permit of the failure domain a suspect
// runs alone in it.
func (p *poisonRound) admit(vm int, d turmericshed.Digest, s turmericshed.ServerID) error {
	if p.system != poisonOneVM && p.vms[vm].Suspect(p.now, d) && p.suspectRuns() {
		return turmericshed.NewError(turmericshed.KindOverloaded, "another suspect runs")
	}
	return p.vms[vm].Started(p.now, d, s)
}

func (p *poisonRound) suspectRuns() bool {
	for _, attempts := range p.running {
		for _, a := range attempts {
			if p.vms[a.vm].Suspect(p.now, a.digest) {
				return true
			}
		}
	}
	return false
}

// advance ends the attempts that are due, in the order of their servers; a
// poison crashes its server with all that runs there.
func (p *poisonRound) advance(d time.Duration) {
	p.now = p.now.Add(d)
	for i := range poisonServers {
		s := turmericshed.ServerID(fmt.Sprint("s-", i))
		attempts := p.running[s]
		crash := slices.ContainsFunc(attempts, func(a poisonAttempt) bool {
			return a.digest == poisonDigest && !a.ends.After(p.now)
		})
		if crash {
			p.crashes++
		}
		var left []poisonAttempt
		for _, a := range attempts {
			if !crash && a.ends.After(p.now) {
				left = append(left, a)
				continue
			}
			p.end(a, s, crash)
		}
		p.running[s] = left
	}
}

func (p *poisonRound) end(a poisonAttempt, s turmericshed.ServerID, crashed bool) {
	var err error
	if crashed {
		err = turmericshed.NewError(turmericshed.KindStreamBroken, "the server went away")
	}
	p.routers[a.vm].Done(p.now, s, a.route, turmericshed.DispatchResult{Err: err})
	if p.system == poisonNone {
		return
	}
	t := p.vms[a.vm]
	if !crashed {
		t.Survived(p.now, a.digest)
	}
	t.Ended(p.now, a.digest, s, crashed)
	if p.system == poisonOneVM {
		return
	}
	for _, o := range p.vms {
		o.Merge(p.now, t.Export(p.now))
	}
}
