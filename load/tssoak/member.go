package tssoak

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsmember"
)

// seedProbability is the share of membership ticks in which a VM reads the
// platform's list.
const seedProbability = 0.1

// tickMembers runs one tick of the membership protocol. On some ticks it first
// reads the platform's list.
func (v *vm) tickMembers() {
	if v.w.chance(seedProbability) && v.w.network.connected(v.location, platform) && v.w.network.connected(platform, v.location) {
		if snap, err := v.w.directory.Snapshot(context.Background()); err == nil {
			v.members.Seed(v.w.now, snap.EntryVMs)
			v.seedServers(snap)
		}
	}
	v.performActions(v.members.Tick(v.w.now))
}

// seedServers applies the platform's list of backend servers and reports the
// load of the reachable ones to the router.
func (v *vm) seedServers(snap turmericshed.DirectorySnapshot) {
	if v.serverList.IsNewer(snap) {
		v.servers, _ = v.serverList.ApplyReading(v.servers, snap)
		v.router.SetServers(v.w.now, v.servers)
		v.limits.SetServers(v.w.now, v.servers)
	}
	for _, s := range v.servers {
		e := v.w.enginesByID[s.ID]
		if !e.down && v.w.network.connected(v.location, e.location) && v.w.network.connected(e.location, v.location) {
			v.router.Report(v.w.now, turmericshed.LoadReport{Server: s.ID, At: v.w.now.Add(-time.Second), Running: e.runningStreams, Leaving: e.leaving})
		}
	}
}

// performActions sends the calls that the membership protocol requests.
func (v *vm) performActions(actions []tsmember.Action) {
	for _, a := range actions {
		v.performAction(a, func(reply tsmember.Message) { v.members.HandleReply(v.w.now, a.ID, reply) }, func() {
			v.performActions(v.members.HandleFailure(v.w.now, a.ID))
		})
	}
}

// performAction sends one call of the membership protocol. It calls failure when
// no VM listens at the address or no answer arrives before the timeout. reply
// receives the answer to a probe; answers to other calls go to the membership
// directly.
func (v *vm) performAction(a tsmember.Action, reply func(tsmember.Message), failure func()) {
	to, ok := v.w.vmAtAddress(a.To)
	if !ok {
		v.after(a.Timeout, failure)
		return
	}
	pending := true
	once := func(f func()) func() {
		return func() {
			if pending {
				pending = false
				f()
			}
		}
	}
	v.after(a.Timeout, once(failure))
	v.send(to, func() {
		switch a.Kind {
		case tsmember.ActionProbe:
			m := to.members.HandleProbe(to.w.now, a.Message)
			to.send(v, once(func() { reply(m) }))
		case tsmember.ActionSync:
			r := to.members.HandleSync(to.w.now, a.Sync)
			to.send(v, once(func() { v.members.HandleSyncReply(v.w.now, a.ID, r) }))
		case tsmember.ActionRelay:
			to.relayProbe(v, a, once)
		}
	})
}

// relayProbe probes a member on behalf of a peer and reports to that peer
// whether the member was reached.
func (v *vm) relayProbe(requester *vm, a tsmember.Action, once func(func()) func()) {
	probe, ok := v.members.HandleRelay(v.w.now, a.Target.Incarnation)
	if !ok {
		return
	}
	sendResult := func(reached bool) {
		v.send(requester, once(func() { requester.members.HandleRelayReply(requester.w.now, a.ID, reached) }))
	}
	v.performAction(probe, func(m tsmember.Message) {
		sendResult(v.members.HandleReply(v.w.now, probe.ID, m))
	}, func() {
		v.performActions(v.members.HandleFailure(v.w.now, probe.ID))
		sendResult(false)
	})
}

// vmAtAddress returns the VM that listens at the address of an entry VM now. It
// reports false when there is none.
func (w *world) vmAtAddress(e turmericshed.EntryVM) (*vm, bool) {
	if !e.PeerAddr.IsValid() {
		return nil, false
	}
	v := w.vms[int(e.PeerAddr.Port())-1]
	return v, v != nil && !v.dead
}
