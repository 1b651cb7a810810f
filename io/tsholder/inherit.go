package tsholder

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// maxTakeovers bounds the requests that take the entry VM over: one to learn
// whom from, and more while transactions end the lots of large holdings.
const maxTakeovers = 5

// Inherit ends the lots of an earlier process on this machine, which is dead:
// what it held above its ceilings goes back, and without ceilings all of it
// counts as spent. It must be called before the first Hold and before the
// controllers run, of a holder with a Writer. Errors: those of the store; the
// first request to the ledgers tries again then, when the ceilings may prove
// nothing any more.
func (h *Holder) Inherit(ctx context.Context) error {
	x := h.exchanger
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.stand(ctx)
}

// stand makes this process the one that stands for its entry VM.
func (x *exchanger) stand(ctx context.Context) error {
	self := x.h.cfg.Self
	for range maxTakeovers {
		if x.standing {
			return nil
		}
		reply, err := x.h.cfg.Writer.Commit(ctx, tsbudget.Request{
			VM: self.Name, Incarnation: self.Incarnation, Takeover: &tsbudget.Takeover{From: x.previous, Now: time.Now()},
		})
		if err != nil {
			return err
		}
		x.learn(reply.Lease)
		if reply.Standing == self.Incarnation {
			x.standing = true
			x.h.cfg.Recorder.Record(turmericshed.Event{
				Name: turmericshed.EventLotClosed, Reason: "lots of an earlier process ended, from " + string(x.previous),
			})
			return nil
		}
		x.previous = reply.Standing
	}
	return turmericshed.NewError(turmericshed.KindStoreUnavailable, "process %q still stands for this entry VM", x.previous)
}
