package tscrash

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/io/tspeerapi"
)

// witnessesPerGroup is how many entry VMs of a server's own failure domain, and of others,
// look at it when it refuses connections. One may be lost.
const witnessesPerGroup = 2

// Look looks at a server for another entry VM.
func (s service) Look(_ context.Context, r *connect.Request[tspeerapi.LookRequest]) (*connect.Response[tspeerapi.LookResponse], error) {
	m := &tspeerapi.LookResponse{Verdict: tspeerapi.LookResponse_VERDICT_ENDED}
	for _, b := range s.w.cfg.Board.Servers.Read() {
		if string(b.ID) == r.Msg.Server && startedMs(b) == r.Msg.StartedMs {
			v, _ := s.w.probe(b)
			m.Verdict = encodeVerdict[v]
		}
	}
	return connect.NewResponse(m), nil
}

var encodeVerdict = map[verdict]tspeerapi.LookResponse_Verdict{
	verdictUnreachable: tspeerapi.LookResponse_VERDICT_UNSPECIFIED,
	verdictTerminated:     tspeerapi.LookResponse_VERDICT_ENDED,
	verdictAlive:     tspeerapi.LookResponse_VERDICT_ALIVE,
}

func startedMs(s turmericshed.BackendServer) int64 {
	if s.Started.IsZero() {
		return 0
	}
	return s.Started.UnixMilli()
}

// confirm asks others whether a server ended that refuses connections here: a cut
// may refuse them as well. All that answer must say so, and one at least must, but
// where there are no others.
func (w *Watch) confirm(s turmericshed.BackendServer) verdict {
	asked := w.selectWitnesses(s)
	if len(asked) == 0 {
		return verdictTerminated
	}
	said := make([]verdict, len(asked))
	var calls sync.WaitGroup
	for i, vm := range asked {
		calls.Go(func() {
			err := w.call(context.Background(), vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
				resp, err := c.Look(ctx, connect.NewRequest(&tspeerapi.LookRequest{Server: string(s.ID), StartedMs: startedMs(s)}))
				if err != nil {
					return err
				}
				switch resp.Msg.Verdict {
				case tspeerapi.LookResponse_VERDICT_ENDED:
					said[i] = verdictTerminated
				case tspeerapi.LookResponse_VERDICT_ALIVE:
					said[i] = verdictAlive
				}
				return nil
			})
			if err != nil {
				w.cfg.Log.Info("entry VM does not look at a server", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "server", string(s.ID), "error", err.Error())
			}
		})
	}
	calls.Wait()
	all := verdictUnreachable
	for _, v := range said {
		all = max(all, v)
	}
	return all
}

// selectWitnesses returns the entry VMs to ask about a server: some of its own failure
// domain, which no cut between domains keeps from it, and some of any other than
// this one's; where there are neither, any.
func (w *Watch) selectWitnesses(s turmericshed.BackendServer) []turmericshed.EntryVM {
	others := w.cfg.Members.Reachable()
	rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	self := w.cfg.Members.Self().FailureDomain
	var near, far []turmericshed.EntryVM
	for _, vm := range others {
		switch {
		case vm.FailureDomain == s.FailureDomain && len(near) < witnessesPerGroup:
			near = append(near, vm)
		case vm.FailureDomain != s.FailureDomain && vm.FailureDomain != self && len(far) < witnessesPerGroup:
			far = append(far, vm)
		}
	}
	if list := append(near, far...); len(list) > 0 {
		return list
	}
	return others[:min(witnessesPerGroup, len(others))]
}

// probeAndConfirm is verdict with the word of others.
func (w *Watch) probeAndConfirm(s turmericshed.BackendServer) (v verdict, asOf time.Time) {
	v, asOf = w.probe(s)
	if v == verdictTerminated {
		v = w.confirm(s)
	}
	return v, asOf
}
