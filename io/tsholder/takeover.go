package tsholder

import (
	"context"
	"time"

	"turmericshed"
	"turmericshed/core/tsbudget"
)

// maxTakeoverRequests limits the requests of one takeover: the first returns the predecessor, and
// further ones may be needed while transactions close the lots of a large holding.
const maxTakeoverRequests = 5

// TakeOver takes the entry VM over from its dead predecessor on this machine and closes the
// predecessor's lots: what they held above their ceilings is returned, and without valid ceilings
// all of it counts as spent. It must be called on a holder with a Writer, before the first Track and
// before the controllers run. Errors: those of the store. The first request to the ledgers then
// repeats the takeover, at a time when the ceilings may have expired.
func (h *Holder) TakeOver(ctx context.Context) error {
	x := h.exchanger
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.takeOver(ctx)
}

// takeOver makes this process the current process of its entry VM.
func (x *exchanger) takeOver(ctx context.Context) error {
	self := x.h.cfg.Self
	for range maxTakeoverRequests {
		if x.isCurrentProcess {
			return nil
		}
		reply, err := x.h.cfg.Writer.Commit(ctx, tsbudget.Request{
			VM: self.Name, Incarnation: self.Incarnation, Takeover: &tsbudget.Takeover{From: x.predecessor, Now: time.Now()},
		})
		if err != nil {
			return err
		}
		x.setLease(reply.Lease)
		if reply.CurrentIncarnation == self.Incarnation {
			x.isCurrentProcess = true
			x.h.cfg.Recorder.Record(turmericshed.Event{
				Name: turmericshed.EventLotClosed, Reason: "lots of an earlier process ended, from " + string(x.predecessor),
			})
			return nil
		}
		x.predecessor = reply.CurrentIncarnation
	}
	return turmericshed.NewError(turmericshed.KindStoreUnavailable, "process %q still stands for this entry VM", x.predecessor)
}
