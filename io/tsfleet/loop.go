package tsfleet

import (
	"context"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsmember"
	"turmericshed/io/tspeerapi"
)

// serveMembership probes members until ctx ends or a step of the node panics. It begins
// with a new node. At the end of a graceful stop it notifies peers that this process
// leaves.
func (f *Fleet) serveMembership(ctx context.Context) error {
	f.reset()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	_, changed := f.cfg.Board.Directory.Watch()
	for {
		select {
		case <-ctx.Done():
			if f.cfg.Board.Draining.Read() {
				f.leave(ctx)
			}
			return ctx.Err()
		case err := <-f.stepPanic:
			return err
		case <-changed:
			snap, next := f.cfg.Board.Directory.Watch()
			changed = next
			_ = f.runStep(func(now time.Time, n *tsmember.Node) { n.Seed(now, snap.EntryVMs) })
		case <-ticker.C:
			var actions []tsmember.Action
			_ = f.runStep(func(now time.Time, n *tsmember.Node) { actions = n.Tick(now) })
			f.startActions(ctx, actions)
		}
	}
}

// startActions performs actions in the background. It cancels those above
// maxConcurrentCalls.
func (f *Fleet) startActions(ctx context.Context, actions []tsmember.Action) {
	for _, a := range actions {
		select {
		case f.callSlots <- struct{}{}:
		default:
			_ = f.runStep(func(now time.Time, n *tsmember.Node) { n.HandleCanceled(now, a.ID) })
			continue
		}
		go func() {
			defer func() { <-f.callSlots }()
			f.perform(ctx, a)
		}()
	}
}

// handleFailure reports a failed action to the node and starts the actions that follow.
func (f *Fleet) handleFailure(ctx context.Context, a tsmember.Action) {
	var next []tsmember.Action
	_ = f.runStep(func(now time.Time, n *tsmember.Node) { next = n.HandleFailure(now, a.ID) })
	if ctx.Err() == nil {
		f.startActions(ctx, next)
	}
}

func (f *Fleet) client(vm turmericshed.EntryVM) tspeerapi.GossipClient {
	c, base := f.cfg.Peers.Client(vm.PeerAddr)
	return tspeerapi.NewGossipClient(c, base, connect.WithReadMaxBytes(maxMessageBytes))
}

// perform makes the call of an action and hands its result over to the node. It reports
// whether the action was a probe and the probed member answered.
func (f *Fleet) perform(ctx context.Context, a tsmember.Action) bool {
	callCtx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var reached bool
	err := f.call(callCtx, a, &reached)
	if err != nil {
		f.metrics.failures.Inc()
		f.handleFailure(ctx, a)
	}
	return reached
}

// call makes the call of an action. It sets reached if a probed member answered.
func (f *Fleet) call(ctx context.Context, a tsmember.Action, reached *bool) error {
	client := f.client(a.To)
	switch a.Kind {
	case tsmember.ActionProbe:
		req := EncodeMessage(a.Message)
		f.metrics.sent(req)
		res, err := client.Probe(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		f.metrics.received(res.Msg)
		m, err := DecodeMessage(res.Msg)
		if err != nil {
			return err
		}
		return f.runStep(func(now time.Time, n *tsmember.Node) { *reached = n.HandleReply(now, a.ID, m) })
	case tsmember.ActionRelay:
		res, err := client.Relay(ctx, connect.NewRequest(&tspeerapi.RelayRequest{Target: string(a.Target.Incarnation)}))
		if err != nil {
			return err
		}
		if res.Msg.GetUnknown() {
			return turmericshed.NewError(turmericshed.KindNotFound, "%s does not know %s", a.To.Name, a.Target.Name)
		}
		return f.runStep(func(now time.Time, n *tsmember.Node) { n.HandleRelayReply(now, a.ID, res.Msg.GetReached()) })
	default:
		req := encodeSync(a.Sync)
		f.metrics.sent(req)
		res, err := client.Sync(ctx, connect.NewRequest(req))
		if err != nil {
			return err
		}
		f.metrics.received(res.Msg)
		reply, err := decodeSyncReply(res.Msg)
		if err != nil {
			return err
		}
		return f.runStep(func(now time.Time, n *tsmember.Node) { n.HandleSyncReply(now, a.ID, reply) })
	}
}

// leave notifies peers that this process leaves permanently.
func (f *Fleet) leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), leaveTimeout)
	defer cancel()
	var actions []tsmember.Action
	_ = f.runStep(func(now time.Time, n *tsmember.Node) { actions = n.Leave(now) })
	var wg sync.WaitGroup
	for _, a := range actions {
		wg.Go(func() { f.perform(ctx, a) })
	}
	wg.Wait()
}
