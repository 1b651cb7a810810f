// Package tsreport builds the operators' morning report: remaining budgets, placed jobs,
// calls in doubt, requests in quarantine, and the faults of the reported period with the
// fleet's response to each.
//
// Everything except the faults is read from the platform's key-value service. The faults
// are read from the time lines of the reachable entry VMs; the events that a VM recorded
// before it was replaced are lost.
//
// # Usage
//
//	rep, err := tsreport.Build(ctx, tsreport.Config{Store: store, Admin: admin, Events: events, From: from})
//	err = rep.WriteText(os.Stdout)
package tsreport

import (
	"context"
	"slices"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tspoison"
	"turmericshed/io/tsadmin"
	"turmericshed/io/tscalls"
	"turmericshed/io/tsquarantine"
)

// Config holds the inputs of a report.
type Config struct {
	Store turmericshed.Store
	Admin *tsadmin.Admin
	// Events are the merged events of the entry VMs.
	Events []turmericshed.Event
	// From is the start of the reported period.
	From time.Time
}

// Report is the operators' morning report.
type Report struct {
	From        time.Time             `json:"from"`
	Budgets     []Budget              `json:"budgets"`
	Jobs        []JobCounts           `json:"jobs"`
	InDoubt     []tscalls.CallInDoubt `json:"in_doubt"`
	Quarantined []tspoison.Evidence   `json:"quarantined"`
	Faults      []Fault               `json:"faults"`
}

// Budget is the state of one profile's budget, in tokens.
type Budget struct {
	Profile turmericshed.ProfileName `json:"profile"`
	Prepaid turmericshed.Tokens      `json:"prepaid"`
	Spent   turmericshed.Tokens      `json:"spent"`
	// InLots is the amount that entry VMs have drawn and not yet reported as spent.
	InLots turmericshed.Tokens `json:"in_lots"`
	// Forfeited is the part of Spent that was charged without a settlement.
	Forfeited turmericshed.Tokens `json:"forfeited"`
	Left      turmericshed.Tokens `json:"left"`
}

// JobCounts holds the numbers of calls of one profile to one plain service, by state.
type JobCounts struct {
	Profile turmericshed.ProfileName `json:"profile"`
	Service string                   `json:"service"`
	// Placed is the number of calls with an answer. Failed is the part of Placed whose
	// answer has an HTTP status of 400 or more, and Resolved is the part that was in
	// doubt and has been settled.
	Placed   int `json:"placed"`
	Failed   int `json:"failed"`
	Resolved int `json:"resolved"`
	Running  int `json:"running"`
	InDoubt  int `json:"in_doubt"`
	NotRun   int `json:"not_run"`
}

// Fault is a kind of fault and its occurrences in the reported period.
type Fault struct {
	Event turmericshed.EventName `json:"event"`
	Count int                    `json:"count"`
	First time.Time              `json:"first"`
	Last  time.Time              `json:"last"`
	// Description is what happened; Response is how the fleet handled it.
	Description string `json:"what"`
	Response    string `json:"done"`
	// Subjects are the members or servers concerned, at most maxFaultSubjects.
	Subjects []string `json:"where,omitempty"`
}

// maxFaultSubjects bounds the number of names in Fault.Subjects.
const maxFaultSubjects = 5

// faultKinds lists the events that count as faults, in the order of the report.
var faultKinds = []Fault{
	{Event: turmericshed.EventStoreLost, Description: "the key-value service went away", Response: "bookings were refused as not run; budgets were spent from lots in hand"},
	{Event: turmericshed.EventStoreRecovered, Description: "the key-value service came back", Response: "outcomes that had waited were written"},
	{Event: turmericshed.EventMemberGone, Description: "an entry VM was lost", Response: "its lots were closed, its calls looked up or put in doubt"},
	{Event: turmericshed.EventLotClosed, Description: "a lot of a lost entry VM was closed", Response: "its rest was charged"},
	{Event: turmericshed.EventClaimInDoubt, Description: "a call was put in doubt", Response: "it is never sent again, and listed below until it is settled"},
	{Event: turmericshed.EventClaimResolved, Description: "a call in doubt was settled", Response: "retries get its answer"},
	{Event: turmericshed.EventStreamBroken, Description: "a token stream broke", Response: "it was resumed after the last whole frame, or ended with an error"},
	{Event: turmericshed.EventStreamResumed, Description: "a token stream was resumed", Response: "its caller got the whole answer"},
	{Event: turmericshed.EventFrameDropped, Description: "a frame came late, twice or for another request", Response: "it was dropped"},
	{Event: turmericshed.EventBreakerOpened, Description: "a backend server kept failing", Response: "it was left out and probed"},
	{Event: turmericshed.EventBreakerClosed, Description: "a backend server recovered", Response: "it gets work again"},
	{Event: turmericshed.EventQuarantined, Description: "a request crashed backend servers", Response: "it was quarantined, see below"},
	{Event: turmericshed.EventProfileRefused, Description: "an edit of a profile was refused", Response: "the earlier version stays in force"},
	{Event: turmericshed.EventControllerFailed, Description: "a part of an entry VM failed", Response: "its supervisor started it again"},
	{Event: turmericshed.EventInvariantBroken, Description: "an invariant was broken", Response: "the operation was stopped: please report it"},
}

// Build reads the store and counts the fault events. If it returns an error, the report
// is incomplete.
func Build(ctx context.Context, cfg Config) (Report, error) {
	rep := Report{From: cfg.From}
	var err error
	if rep.Budgets, err = listBudgets(ctx, cfg.Admin); err != nil {
		return rep, err
	}
	if rep.Jobs, err = countJobs(ctx, cfg.Store, cfg.From); err != nil {
		return rep, err
	}
	if rep.InDoubt, err = tscalls.New(tscalls.Config{Store: cfg.Store}).CallsInDoubt(ctx); err != nil {
		return rep, err
	}
	if rep.Quarantined, err = tsquarantine.List(ctx, cfg.Store); err != nil {
		return rep, err
	}
	rep.Faults = countFaults(cfg.Events, cfg.From)
	return rep, nil
}

func listBudgets(ctx context.Context, a *tsadmin.Admin) ([]Budget, error) {
	profiles, err := a.Profiles(ctx)
	if err != nil {
		return nil, err
	}
	var out []Budget
	for _, p := range profiles {
		l, err := a.Ledger(ctx, p)
		if err != nil {
			return nil, err
		}
		out = append(out, Budget{
			Profile: p.Name, Prepaid: p.Prepaid, Spent: l.Spent, InLots: l.OpenCharge(),
			Forfeited: l.Forfeited, Left: p.Prepaid - l.Spent - l.OpenCharge(),
		})
	}
	return out, nil
}

type jobsKey struct {
	profile turmericshed.ProfileName
	service string
}

func countJobs(ctx context.Context, s turmericshed.Store, from time.Time) ([]JobCounts, error) {
	counts := map[jobsKey]*JobCounts{}
	err := tscalls.VisitCalls(ctx, s, from, func(_ tsclaim.ID, e tsclaim.Entry) {
		k := jobsKey{profile: e.Profile, service: e.Service}
		if counts[k] == nil {
			counts[k] = &JobCounts{Profile: e.Profile, Service: e.Service}
		}
		counts[k].add(e)
	})
	var out []JobCounts
	for _, j := range counts {
		out = append(out, *j)
	}
	slices.SortFunc(out, func(a, b JobCounts) int {
		return strings.Compare(string(a.Profile)+"/"+a.Service, string(b.Profile)+"/"+b.Service)
	})
	return out, err
}

// add counts one call by its state.
func (j *JobCounts) add(e tsclaim.Entry) {
	switch e.State {
	case tsclaim.StateDone:
		j.Placed++
		if e.Answer != nil && e.Answer.Status >= 400 {
			j.Failed++
		}
		if e.By != "" {
			j.Resolved++
		}
	case tsclaim.StateOpen:
		j.Running++
	case tsclaim.StateInDoubt:
		j.InDoubt++
	case tsclaim.StateNotRun:
		j.NotRun++
	}
}

// countFaults returns the faults at or after from, in the order of faultKinds.
func countFaults(events []turmericshed.Event, from time.Time) []Fault {
	var out []Fault
	for _, f := range faultKinds {
		for _, e := range events {
			if e.Name != f.Event || e.Wall.Before(from) {
				continue
			}
			if f.Count == 0 {
				f.First = e.Wall
			}
			f.Count++
			f.Last = e.Wall
			f.addSubject(e)
		}
		if f.Count > 0 {
			out = append(out, f)
		}
	}
	return out
}

// addSubject adds the member or server of an event, up to maxFaultSubjects.
func (f *Fault) addSubject(e turmericshed.Event) {
	subject := e.Member
	if subject == "" {
		subject = string(e.Server)
	}
	if subject != "" && len(f.Subjects) < maxFaultSubjects && !slices.Contains(f.Subjects, subject) {
		f.Subjects = append(f.Subjects[:len(f.Subjects):len(f.Subjects)], subject)
	}
}
