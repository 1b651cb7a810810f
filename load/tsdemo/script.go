package tsdemo

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/io/tsholder"
	"turmericshed/standin/tsengine"
	"turmericshed/standin/tsservice"
)

// step is one action at a share of the run's duration.
type step struct {
	at float64
	do func(ctx context.Context) error
}

// steps lists what happens while requests arrive, in order.
func (d *demo) steps() []step {
	return []step{
		{0.10, d.disturbFrames},
		{0.20, d.cutOff},
		{0.30, d.topUp},
		{0.35, d.loseAnswers},
		{0.40, d.kill},
		{0.50, d.replace},
		{0.55, d.crashEngine},
		{0.60, d.leave},
		{0.70, d.heal},
		{0.80, d.stopOne},
	}
}

// script runs the load with the steps, waits for its end and stops the fleet.
func (d *demo) script(ctx context.Context) error {
	if err := d.cluster.waitReady(ctx); err != nil {
		return err
	}
	d.say("every entry VM is ready")
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		d.load.Run(ctx)
	}()
	began := time.Now()
	for _, s := range d.steps() {
		wait := time.Until(began.Add(time.Duration(s.at * float64(d.opts.Duration))))
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
	d.say("load ended: %s", d.summaryLine())
	if err := d.cluster.stop(); err != nil {
		return err
	}
	d.say("every entry VM stopped gracefully")
	return nil
}

func (d *demo) disturbFrames(context.Context) error {
	for _, list := range d.cluster.engines {
		for _, e := range list {
			e.ChangeFaults(func(f *tsengine.Faults) {
				f.Crossed, f.Late, f.Doubled, f.Missing, f.EarlyClose, f.EarlyDone = 1, 1, 1, 1, 1, 1
			})
		}
	}
	d.say("engines cross, delay, double and leave out frames, and close early")
	return nil
}

func (d *demo) cutOff(context.Context) error {
	all := domains()
	d.cluster.net.isolate(all[1], all[0], all[2], placePlatform)
	d.say("failure domain %s is cut off from the others and the platform", all[1])
	return nil
}

// topUp raises a budget on the side that reaches the platform.
func (d *demo) topUp(ctx context.Context) error {
	u := d.users[1]
	item, err := d.cluster.store.Get(ctx, turmericshed.ProfilePrefix+string(u.assistant()))
	if err != nil {
		return err
	}
	p, err := decodeProfile(item)
	if err != nil {
		return err
	}
	p.Prepaid += p.Prepaid / 4
	if _, err := tsholder.PutProfile(ctx, d.cluster.store, p, p.Version); err != nil {
		return err
	}
	d.say("%s is topped up to %d tokens", u.assistant(), p.Prepaid)
	return nil
}

func (d *demo) loseAnswers(context.Context) error {
	for _, list := range d.cluster.services {
		for _, s := range list {
			s.ChangeFaults(func(f *tsservice.Faults) { f.LoseAnswers = 1 })
		}
	}
	d.say("each service runs its next call and loses the answer; callers retry")
	return nil
}

func (d *demo) kill(context.Context) error {
	d.cluster.killEntry(domains()[0])
	d.load.SetEntries(d.cluster.addrs())
	d.say("an entry VM in %s is killed with streams open", domains()[0])
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
	d.say("a new entry VM starts in %s", domains()[0])
	return nil
}

func (d *demo) crashEngine(context.Context) error {
	d.cluster.engines[d.users[0].model][0].Crash()
	d.say("an engine crashes and comes back")
	return nil
}

func (d *demo) leave(ctx context.Context) error {
	d.cluster.engines[d.users[1].model][0].Leave(ctx)
	d.say("an engine begins to leave")
	return nil
}

func (d *demo) heal(context.Context) error {
	d.cluster.net.heal()
	d.say("the cut heals")
	return nil
}

// stopOne stops an entry VM gracefully under load.
func (d *demo) stopOne(context.Context) error {
	at := domains()[2]
	stopped := d.cluster.takeEntry(at)
	d.load.SetEntries(d.cluster.addrs())
	d.say("an entry VM in %s stops gracefully under load", at)
	go func() { d.cluster.noteStop(<-stopped) }()
	return nil
}
