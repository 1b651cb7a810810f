// Package tsdemo runs the complete system in one process, over real TCP on
// loopback addresses: the platform, backend servers, entry VMs in three
// failure domains, and callers of two users. It injects failures and then
// compares the books of the stand-in backend servers with those of the callers.
//
// # Usage
//
//	res, err := tsdemo.Run(ctx, tsdemo.Options{Seed: 1, Duration: 40 * time.Second, Progress: os.Stderr})
//	if !res.PromisesKept() { ... } // a promise was broken
package tsdemo

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"time"

	"turmericshed"
	"turmericshed/load/tsload"
)

// Load of the demo.
const (
	defaultRate     = 40.0
	defaultDuration = 40 * time.Second
	readyTimeout    = 12 * time.Second
	readyPoll       = 20 * time.Millisecond
	requestDeadline = 12 * time.Second
	accountsPerUser = 10
	assistTokens    = 48
	hintTokens      = 24
	promptBytes     = 400
	callCost        = 1
)

// Options configures a run.
type Options struct {
	Seed uint64
	// Duration is how long requests arrive; 0 means 40 s.
	Duration time.Duration
	// Rate is the mean number of arrivals a second; 0 means 40.
	Rate float64
	// Progress receives a line for each step; nil discards them.
	Progress io.Writer
	Log      *slog.Logger
	// Timeline receives the events of all processes as JSON lines; nil
	// discards them.
	Timeline io.Writer
}

// user is one user of the system, with its model, service and client accounts.
type user struct {
	name     string
	model    turmericshed.Model
	service  string
	accounts []tsload.Account
}

// demo is the state of one run.
type demo struct {
	opts      Options
	events    *events
	cluster   *cluster
	users     []*user
	load      *tsload.Load
	startedAt time.Time
	// poisonCrashes counts the engine crashes caused by the poison request.
	poisonCrashes int
}

// Run runs the demo, stops everything that it started, and returns the result.
func Run(ctx context.Context, o Options) (Result, error) {
	if o.Duration <= 0 {
		o.Duration = defaultDuration
	}
	if o.Rate <= 0 {
		o.Rate = defaultRate
	}
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	if o.Log == nil {
		o.Log = slog.New(slog.DiscardHandler)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	d := &demo{opts: o, events: newEvents(o.Timeline), startedAt: time.Now(), users: []*user{
		{name: "payung_baik", model: "umbrella-8b", service: "bookings"},
		{name: "loopwell", model: "stitch-8b", service: "reorders"},
	}}
	if err := d.start(ctx); err != nil {
		return Result{}, err
	}
	defer d.cluster.wg.Wait()
	defer cancel()
	if err := d.runScript(ctx); err != nil {
		return Result{}, err
	}
	return d.result(ctx)
}

// reportProgress writes one line to Options.Progress, with the time since the start.
func (d *demo) reportProgress(format string, args ...any) {
	_, _ = fmt.Fprintf(d.opts.Progress, "%5.1fs  %s\n", time.Since(d.startedAt).Seconds(), fmt.Sprintf(format, args...))
}

// start starts the cluster, creates accounts and profiles, and prepares the load.
func (d *demo) start(ctx context.Context) (err error) {
	var models []turmericshed.Model
	var services []string
	for _, u := range d.users {
		models, services = append(models, u.model), append(services, u.service)
	}
	if d.cluster, err = newCluster(ctx, d.opts.Log, d.events, models, services); err != nil {
		return err
	}
	var profiles []tsload.Profile
	for _, u := range d.users {
		if err := d.makeUser(ctx, u); err != nil {
			return err
		}
		profiles = append(profiles,
			tsload.Profile{Name: u.assistant(), Accounts: u.accounts, Share: 2, Model: u.model, MaxTokens: assistTokens, PromptBytes: promptBytes},
			tsload.Profile{Name: u.desk(), Accounts: u.accounts, Share: 1, Service: u.service, LookupShare: 0.3})
	}
	if err := d.cluster.startEntries(); err != nil {
		return err
	}
	d.reportProgress("%d entry VMs, %d engines and %d services in %d failure domains", len(d.cluster.entries),
		len(models)*len(domains())*enginesPerModel, len(services)*len(domains()), len(domains()))
	d.load, err = tsload.New(tsload.Options{
		Name: fmt.Sprintf("demo-%d", d.opts.Seed), Entries: d.cluster.addrs(), Profiles: profiles, Rate: d.opts.Rate,
		Duration: d.opts.Duration, Seed: d.opts.Seed, Deadline: requestDeadline, Dial: d.cluster.net.dialer(placeCallers),
	})
	return err
}

func (u *user) assistant() turmericshed.ProfileName {
	return turmericshed.ProfileName(u.name + "_assistant")
}
func (u *user) desk() turmericshed.ProfileName { return turmericshed.ProfileName(u.name + "_desk") }

// makeUser creates the accounts and profiles of one user.
func (d *demo) makeUser(ctx context.Context, u *user) error {
	var limits []turmericshed.AccountLimit
	for i := range accountsPerUser {
		id := turmericshed.AccountID(fmt.Sprintf("%s_%d", u.name, i+1))
		key, err := d.cluster.admin.AddAccount(ctx, id)
		if err != nil {
			return err
		}
		u.accounts = append(u.accounts, tsload.Account{ID: id, Key: key})
		limits = append(limits, turmericshed.AccountLimit{Account: id, Weight: 1})
	}
	edge := turmericshed.PreferNoSurprise
	if u.name == "loopwell" {
		edge = turmericshed.PreferNoRefusal
	}
	for _, p := range []turmericshed.Profile{
		{Name: u.assistant(), Work: turmericshed.WorkAssistant, Model: u.model, Prepaid: d.prepaid()},
		{Name: u.desk(), Work: turmericshed.WorkService, Services: []string{u.service}, Prepaid: d.prepaid() / 100, CallCost: callCost, Priority: 5},
	} {
		p.Accounts, p.Edge = limits, edge
		p.PartitionTolerance = turmericshed.Duration(time.Minute)
		if _, err := d.cluster.admin.PutProfile(ctx, p, 0); err != nil {
			return err
		}
	}
	return nil
}

// prepaid returns twice the tokens that an assistant profile is expected to use.
func (d *demo) prepaid() turmericshed.Tokens {
	generations := d.opts.Rate * d.opts.Duration.Seconds() / 3
	return turmericshed.Tokens(2*generations) * (promptBytes + assistTokens)
}
