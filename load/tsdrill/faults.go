package tsdrill

import (
	"context"
	"sync"
	"time"

	"turmericshed/standin/tsmetastore"
)

const (
	// stopInterval, changeInterval and faultInterval are the mean times between stops,
	// between changes, and between failures.
	stopInterval   = 900 * time.Millisecond
	changeInterval = 700 * time.Millisecond
	faultInterval  = 800 * time.Millisecond
	// faultDuration is how long a failure of a server or of the store lasts.
	faultDuration = 700 * time.Millisecond
	// exitFailed is the exit code of a process that could not finish its stop.
	exitFailed = 1
	// settleTime is the time after the last failure of the first phase within which
	// stopped entry VMs are back.
	settleTime = gracePeriod + 2*time.Second
)

// runPlanned stops, restarts and reloads entry VMs and changes the routing table until the
// end of the second phase.
func (d *drill) runPlanned(ctx context.Context) {
	var stops sync.WaitGroup
	defer stops.Wait()
	stops.Go(func() {
		rng := d.newRand(1 << 20)
		for pause(ctx, rng, changeInterval, d.faultsUntil) {
			switch rng.IntN(4) {
			case 0, 1:
				d.servers.addRoute()
				d.count(&d.report.Changes)
				continue
			case 2:
				if err := d.servers.release(); err != nil {
					d.violate("a release failed: %v", err)
				}
				d.count(&d.report.Releases)
				continue
			}
			if err := d.vms[rng.IntN(len(d.vms))].reload(); err != nil {
				d.violate("a reload failed: %v", err)
			}
			d.count(&d.report.Reloads)
		}
	})
	rng := d.newRand(1 << 21)
	for pause(ctx, rng, stopInterval, d.faultsUntil) {
		vm := d.vms[rng.IntN(len(d.vms))]
		p := vm.current()
		if p == nil || p.isStopping() || d.downCount() >= int(maxDownShare*float64(len(d.vms))) {
			continue
		}
		isKill := d.hasKills() && time.Now().After(d.plannedUntil) && rng.IntN(3) == 0
		stops.Go(func() { d.restart(vm, p, isKill) })
	}
}

// downCount returns the number of entry VMs that are down or stopping.
func (d *drill) downCount() (n int) {
	for _, vm := range d.vms {
		if p := vm.current(); p == nil || p.isStopping() {
			n++
		}
	}
	return n
}

// restart ends the process of an entry VM and starts the next one, unless another task does so.
func (d *drill) restart(vm *entryVM, p *process, isKill bool) {
	if !p.claimEnd() {
		return
	}
	if isKill {
		p.kill()
		d.count(&d.report.Kills)
	} else {
		if err := p.stop(); err != nil {
			d.violate("%s: %v", vm.name, err)
		}
		d.count(&d.report.Stops)
		// While the store is down, a process can't return its tokens and says so.
		if p.exitErr != nil && (p.cmd.ProcessState.ExitCode() != exitFailed || time.Now().Before(d.plannedUntil)) {
			d.violate("%s: stopped with %v", vm.name, p.exitErr)
		}
	}
	if err := vm.start(); err != nil {
		d.violate("%s: %v", vm.name, err)
	}
}

// runFaults injects failures and requests with deadly parts during the second phase.
func (d *drill) runFaults(ctx context.Context) {
	rng := d.newRand(1 << 22)
	select {
	case <-time.After(time.Until(d.plannedUntil)):
	case <-ctx.Done():
		return
	}
	var tasks sync.WaitGroup
	defer tasks.Wait()
	tasks.Go(func() {
		// Requests with the deadly part go on to the end: the block must last.
		c := &caller{d: d, rng: d.newRand(1 << 23)}
		for pause(ctx, c.rng, deadlyInterval, d.until) {
			if p := c.pick(); p != nil {
				deadly := &caller{d: d, rng: d.newRand(c.rng.Uint64())}
				tasks.Go(func() { deadly.sendDeadly(p) })
			}
		}
	})
	tasks.Go(func() {
		c := &caller{d: d, rng: d.newRand(1 << 24)}
		for pause(ctx, c.rng, spendInterval, d.faultsUntil) {
			if p := c.pick(); p != nil {
				spending := &caller{d: d, rng: d.newRand(c.rng.Uint64())}
				tasks.Go(func() { spending.sendAlone(request{kind: askStream, isSmall: true, process: p}) })
			}
		}
	})
	for pause(ctx, rng, faultInterval, d.faultsUntil) {
		switch all := d.servers.inService(); rng.IntN(10) {
		case 0:
			all[rng.IntN(len(all))].Crash()
		case 1, 2:
			b := all[rng.IntN(len(all))]
			how := tsmetastore.BehaveLosingAnswers
			if b.Events > 0 && rng.IntN(2) == 0 {
				how = tsmetastore.BehaveBreakingStreams
			}
			b.SetBehaviour(how)
			time.AfterFunc(faultDuration, func() { b.SetBehaviour(tsmetastore.BehaveNormal) })
		case 3:
			d.servers.store.SetDown(true)
			time.AfterFunc(faultDuration, func() { d.servers.store.SetDown(false) })
		case 4:
			b := all[rng.IntN(len(all))]
			b.SetBehaviour(tsmetastore.BehaveEndless)
			time.AfterFunc(faultDuration, func() { b.SetBehaviour(tsmetastore.BehaveNormal) })
		case 5:
			if d.hasKills() {
				d.restartAll()
				continue
			}
			d.restoreStore(rng)
		case 6:
			d.restoreStore(rng)
		case 7, 8:
			disturbance := d.newRand(rng.Uint64())
			tasks.Go(func() { d.putOutOfStep(ctx, disturbance) })
		}
	}
}

// hasKills reports whether processes are killed. The tokens that they hold are lost, which would hide tokens
// that are handed out twice, so half of the seeds have restores of the store in place of kills.
func (d *drill) hasKills() bool { return d.Seed%2 == 1 }

// restartAll kills the processes of all entry VMs at once, and starts the next ones.
func (d *drill) restartAll() {
	var restarts sync.WaitGroup
	defer restarts.Wait()
	for _, vm := range d.vms {
		if p := vm.current(); p != nil && !p.isStopping() {
			restarts.Go(func() { d.restart(vm, p, true) })
		}
	}
	d.count(&d.report.KillsOfAll)
}

// count adds one to a number of the report.
func (d *drill) count(n *int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	*n++
}
