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
	poisonVMs         = 3
	poisonServers     = 6
	poisonSteps       = 40
	poisonRounds      = 200
	quickPoisonRounds = 40
	poisonDigest      = turmericshed.Digest("poison")
)

// PoisonResult is the result of one request that crashes each server that runs it, within one
// failure domain.
type PoisonResult struct {
	System string `json:"system"`
	// Arrival is how attempts arrive: one after another or simultaneously.
	Arrival string `json:"arrival"`
	Rounds  int    `json:"rounds"`
	// CrashesByPoison is the maximum over all rounds.
	CrashesByPoison int     `json:"crashes_by_poison"`
	CrashesMean     float64 `json:"crashes_mean"`
	// InnocentRefusedShare is the share of other requests that were refused.
	InnocentRefusedShare float64 `json:"innocent_refused_share"`
	InnocentQuarantined  int     `json:"innocent_barred"`
}

func (r *CallsReport) addPoison(results []PoisonResult) {
	r.Poison = results
	for _, p := range results {
		if p.System == poisonQuarantine {
			r.CrashesByPoison = max(r.CrashesByPoison, p.CrashesByPoison)
		}
	}
}

// The systems under comparison: the product, the product with servers picked at random, evidence
// that is not shared between entry VMs, and no quarantine.
const (
	poisonQuarantine = "quarantine"
	poisonRandom     = "quarantine_random_servers"
	poisonOneVM      = "one_vm_only"
	poisonNone       = "none"
)

func runPoison(o Options) []PoisonResult {
	rounds := poisonRounds
	if o.Quick {
		rounds = quickPoisonRounds
	}
	var out []PoisonResult
	for _, simultaneous := range []bool{false, true} {
		for _, system := range []string{poisonQuarantine, poisonRandom, poisonOneVM, poisonNone} {
			out = append(out, measurePoison(o.Seed, rounds, system, simultaneous))
		}
	}
	return out
}

// poisonRound simulates one failure domain that receives a poison request among others.
type poisonRound struct {
	r                   *rand.Rand
	now                 time.Time
	system              string
	vms                 []*tspoison.Tracker
	routers             []*tsroute.Router
	running             map[turmericshed.ServerID][]poisonAttempt
	crashes             int
	innocentSent        int
	innocentRefused     int
	innocentQuarantined map[turmericshed.Digest]bool
}

type poisonAttempt struct {
	vm     int
	digest turmericshed.Digest
	endsAt time.Time
	route  turmericshed.RouteRequest
}

func measurePoison(seed uint64, rounds int, system string, simultaneous bool) PoisonResult {
	res := PoisonResult{System: system, Arrival: "one_after_the_other", Rounds: rounds}
	if simultaneous {
		res.Arrival = "at_the_same_moment"
	}
	r := rand.New(rand.NewPCG(seed, 4))
	crashes, sent, refused := 0, 0, 0
	for range rounds {
		p := &poisonRound{
			r: r, now: time.Unix(1_700_000_000, 0), system: system,
			running: map[turmericshed.ServerID][]poisonAttempt{}, innocentQuarantined: map[turmericshed.Digest]bool{},
		}
		for range poisonVMs {
			p.vms = append(p.vms, tspoison.NewTracker())
			p.routers = append(p.routers, newPoisonRouter(p.now, r))
		}
		p.run(simultaneous)
		crashes += p.crashes
		sent += p.innocentSent
		refused += p.innocentRefused
		res.InnocentQuarantined += len(p.innocentQuarantined)
		res.CrashesByPoison = max(res.CrashesByPoison, p.crashes)
	}
	res.CrashesMean = roundToThousandths(float64(crashes) / float64(rounds))
	res.InnocentRefusedShare = roundToThousandths(float64(refused) / float64(sent))
	return res
}

// run sends other requests continuously and the poison request in every third step, through one
// entry VM or, if simultaneous, through three at once.
func (p *poisonRound) run(simultaneous bool) {
	for step := range poisonSteps {
		for range 4 {
			p.send(turmericshed.Digest(fmt.Sprint("request-", p.r.IntN(30))))
		}
		if step%3 == 0 {
			n := 1
			if simultaneous {
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
		p.innocentSent++
	}
	s, route, ok := p.pick(vm, d)
	if !ok {
		return
	}
	if p.system != poisonNone {
		err := p.admit(vm, d, s)
		if err != nil {
			if d != poisonDigest {
				p.innocentRefused++
				if turmericshed.KindOf(err) == turmericshed.KindQuarantined {
					p.innocentQuarantined[d] = true
				}
			}
			p.routers[vm].Done(p.now, s, route, turmericshed.DispatchResult{Err: err})
			return
		}
	}
	took := time.Duration(1+p.r.IntN(6)) * time.Second
	p.running[s] = append(p.running[s], poisonAttempt{vm: vm, digest: d, endsAt: p.now.Add(took), route: route})
}

func newPoisonRouter(now time.Time, r *rand.Rand) *tsroute.Router {
	router := tsroute.New(tsroute.Config{FailureDomain: "fd", Rand: r})
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

// pick selects a server by the hash of the request, or at random for poisonRandom.
func (p *poisonRound) pick(vm int, d turmericshed.Digest) (turmericshed.ServerID, turmericshed.RouteRequest, bool) {
	route := turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: "m", Cost: 100}
	if p.system != poisonRandom {
		route.Prefix = xxhash.Sum64String(string(d))
	}
	s, err := p.routers[vm].Pick(p.now, route)
	return s.ID, route, err == nil
}

// admit starts an attempt. Except for poisonOneVM, one suspect at most runs in the failure domain
// at a time.
func (p *poisonRound) admit(vm int, d turmericshed.Digest, s turmericshed.ServerID) error {
	if p.system != poisonOneVM && p.vms[vm].Suspect(p.now, d) && p.suspectIsRunning() {
		return turmericshed.NewError(turmericshed.KindOverloaded, "another suspect request is running")
	}
	return p.vms[vm].Started(p.now, d, s)
}

func (p *poisonRound) suspectIsRunning() bool {
	for _, attempts := range p.running {
		for _, a := range attempts {
			if p.vms[a.vm].Suspect(p.now, a.digest) {
				return true
			}
		}
	}
	return false
}

// advance finishes the attempts that are due, in the order of their servers. A poison request
// crashes its server with everything that runs there.
func (p *poisonRound) advance(d time.Duration) {
	p.now = p.now.Add(d)
	for i := range poisonServers {
		s := turmericshed.ServerID(fmt.Sprint("s-", i))
		attempts := p.running[s]
		crash := slices.ContainsFunc(attempts, func(a poisonAttempt) bool {
			return a.digest == poisonDigest && !a.endsAt.After(p.now)
		})
		if crash {
			p.crashes++
		}
		var stillRunning []poisonAttempt
		for _, a := range attempts {
			if !crash && a.endsAt.After(p.now) {
				stillRunning = append(stillRunning, a)
				continue
			}
			p.finish(a, s, crash)
		}
		p.running[s] = stillRunning
	}
}

func (p *poisonRound) finish(a poisonAttempt, s turmericshed.ServerID, crashed bool) {
	var err error
	if crashed {
		err = turmericshed.NewError(turmericshed.KindStreamBroken, "backend server crashed")
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
