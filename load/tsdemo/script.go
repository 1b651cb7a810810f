package tsdemo

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"turmericshed"
	"turmericshed/standin/tsengine"
	"turmericshed/standin/tsservice"
)

// The poison request crashes every engine that runs it.
const (
	poisonMarker   = "poison-7f3a"
	poisonAttempts = 8
)

// step is an action that runs after the given share of the run's duration.
type step struct {
	share float64
	do    func(ctx context.Context) error
}

// steps lists what happens while requests arrive, in order.
func (d *demo) steps() []step {
	return []step{
		{0.10, d.disturbFrames},
		{0.15, d.poison},
		{0.20, d.isolateDomain},
		{0.30, d.topUp},
		{0.35, d.loseAnswers},
		{0.40, d.kill},
		{0.50, d.replace},
		{0.55, d.crashEngine},
		{0.60, d.leave},
		{0.70, d.heal},
		{0.80, d.stopEntry},
	}
}

// runScript runs the load with the steps, waits for its end and stops the entry VMs.
func (d *demo) runScript(ctx context.Context) error {
	if err := d.cluster.waitReady(ctx); err != nil {
		return err
	}
	d.reportProgress("every entry VM is ready")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.load.Run(ctx)
	}()
	began := time.Now()
	for _, s := range d.steps() {
		wait := time.Until(began.Add(time.Duration(s.share * float64(d.opts.Duration))))
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := s.do(ctx); err != nil {
			return err
		}
	}
	<-ended
	d.reportProgress("load ended: %s", d.summaryLine())
	if err := d.cluster.stop(); err != nil {
		return err
	}
	d.reportProgress("every entry VM stopped gracefully")
	return nil
}

func (d *demo) disturbFrames(context.Context) error {
	for _, list := range d.cluster.engines {
		for _, e := range list {
			e.ChangeFaults(func(f *tsengine.Faults) {
				f.Crossed, f.Late, f.Duplicated, f.Missing, f.EarlyClose, f.EarlyDone = 1, 1, 1, 1, 1, 1
			})
		}
	}
	d.reportProgress("engines cross, delay, double and leave out frames, and close early")
	return nil
}

// poison sends the poison request repeatedly, with a new request id each time, through
// every entry VM of one failure domain, and counts the engine crashes.
func (d *demo) poison(ctx context.Context) error {
	u, domain := d.users[0], domains()[2]
	list := d.cluster.engines[u.model]
	for _, e := range list {
		e.ChangeFaults(func(f *tsengine.Faults) { f.CrashMarker = poisonMarker })
		d.poisonCrashes -= e.Crashes()
	}
	for i := range poisonAttempts {
		vm := d.cluster.entryAt(domain, i)
		answer, err := d.send(ctx, vm, u, "please mend "+poisonMarker)
		if err == nil && answer {
			return turmericshed.NewError(turmericshed.KindInternal, "a request that crashes engines was answered")
		}
	}
	for _, e := range list {
		d.poisonCrashes += e.Crashes()
	}
	d.reportProgress("a request that crashes engines is sent %d times through %s: %d crashes", poisonAttempts, domain, d.poisonCrashes)
	return nil
}

// send sends one generation and reports whether it was answered with status 200.
func (d *demo) send(ctx context.Context, vm *entryVM, u *user, prompt string) (bool, error) {
	body, err := json.Marshal(map[string]any{"max_tokens": hintTokens, "messages": []turmericshed.Message{{Role: "user", Content: prompt}}})
	if err != nil {
		return false, err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.proc.Addr().String()+"/v1/chat/completions", bytes.NewReader(body))
	if err != nil {
		return false, err
	}
	req.Header.Set("Authorization", "Bearer "+u.accounts[0].Key)
	req.Header.Set("Turmericshed-Profile", string(u.assistant()))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK, nil
}

func (d *demo) isolateDomain(context.Context) error {
	all := domains()
	d.cluster.net.isolate(all[1], all[0], all[2], placePlatform)
	d.reportProgress("failure domain %s is cut off from the others and the platform", all[1])
	return nil
}

// topUp raises a budget while one failure domain is cut off from the platform.
func (d *demo) topUp(ctx context.Context) error {
	u := d.users[1]
	p, err := d.cluster.admin.EditProfile(ctx, u.assistant(), 0, func(p *turmericshed.Profile) error {
		p.Prepaid += p.Prepaid / 4
		return nil
	})
	if err != nil {
		return err
	}
	d.reportProgress("%s is topped up to %d tokens", u.assistant(), p.Prepaid)
	return nil
}

func (d *demo) loseAnswers(context.Context) error {
	for _, list := range d.cluster.services {
		for _, s := range list {
			s.ChangeFaults(func(f *tsservice.Faults) { f.LoseAnswers = 1 })
		}
	}
	d.reportProgress("each service runs its next call and loses the answer; callers retry")
	return nil
}

func (d *demo) kill(context.Context) error {
	d.cluster.killEntry(domains()[0])
	d.load.SetEntries(d.cluster.addrs())
	d.reportProgress("an entry VM in %s is killed with streams open", domains()[0])
	return nil
}

func (d *demo) replace(ctx context.Context) error {
	if err := d.cluster.startEntry(domains()[0]); err != nil {
		return err
	}
	if err := d.cluster.waitReady(ctx); err != nil {
		return err
	}
	d.load.SetEntries(d.cluster.addrs())
	d.reportProgress("a new entry VM starts in %s", domains()[0])
	return nil
}

func (d *demo) crashEngine(context.Context) error {
	d.cluster.engines[d.users[0].model][0].Crash()
	d.reportProgress("an engine crashes and comes back")
	return nil
}

func (d *demo) leave(ctx context.Context) error {
	d.cluster.engines[d.users[1].model][0].Leave(ctx)
	d.reportProgress("an engine begins to leave")
	return nil
}

func (d *demo) heal(context.Context) error {
	d.cluster.net.heal()
	d.reportProgress("the cut heals")
	return nil
}

// stopEntry stops an entry VM gracefully under load.
func (d *demo) stopEntry(context.Context) error {
	domain := domains()[2]
	stopped := d.cluster.removeEntry(domain)
	d.load.SetEntries(d.cluster.addrs())
	d.reportProgress("an entry VM in %s stops gracefully under load", domain)
	go func() { d.cluster.recordStop(<-stopped) }()
	return nil
}
