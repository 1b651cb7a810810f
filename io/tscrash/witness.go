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

// witnessesPerGroup is the number of entry VMs in the server's failure domain, and again
// in other failure domains, that probe a server which refuses connections. With two in
// each group, one may fail to answer.
const witnessesPerGroup = 2

// Look probes a server for another entry VM. A server that is not in the local list of
// servers counts as terminated.
func (s service) Look(_ context.Context, r *connect.Request[tspeerapi.LookRequest]) (*connect.Response[tspeerapi.LookResponse], error) {
	m := &tspeerapi.LookResponse{Verdict: tspeerapi.LookResponse_VERDICT_ENDED}
	for _, b := range s.w.cfg.Board.Servers.Read() {
		if string(b.ID) == r.Msg.Server && startedMs(b) == r.Msg.StartedMs {
			v, _ := s.w.probe(b)
			m.Verdict = protoVerdicts[v]
		}
	}
	return connect.NewResponse(m), nil
}

var protoVerdicts = map[verdict]tspeerapi.LookResponse_Verdict{
	verdictUnreachable: tspeerapi.LookResponse_VERDICT_UNSPECIFIED,
	verdictTerminated:  tspeerapi.LookResponse_VERDICT_ENDED,
	verdictAlive:       tspeerapi.LookResponse_VERDICT_ALIVE,
}

// startedMs returns the start time of a server as sent to other entry VMs, 0 if unknown.
func startedMs(s turmericshed.BackendServer) int64 {
	if s.Started.IsZero() {
		return 0
	}
	return s.Started.UnixMilli()
}

// confirm requests that other entry VMs probe a server which refuses connections here,
// because a network partition may refuse them as well. The server counts as terminated
// if every witness that reaches a verdict agrees and at least one does, or if there is
// no other entry VM.
func (w *Watch) confirm(s turmericshed.BackendServer) verdict {
	selected := w.selectWitnesses(s)
	if len(selected) == 0 {
		return verdictTerminated
	}
	verdicts := make([]verdict, len(selected))
	var calls sync.WaitGroup
	for i, vm := range selected {
		calls.Go(func() {
			err := w.call(context.Background(), vm, func(ctx context.Context, c tspeerapi.CrashServiceClient) error {
				resp, err := c.Look(ctx, connect.NewRequest(&tspeerapi.LookRequest{Server: string(s.ID), StartedMs: startedMs(s)}))
				if err != nil {
					return err
				}
				switch resp.Msg.Verdict {
				case tspeerapi.LookResponse_VERDICT_ENDED:
					verdicts[i] = verdictTerminated
				case tspeerapi.LookResponse_VERDICT_ALIVE:
					verdicts[i] = verdictAlive
				}
				return nil
			})
			if err != nil {
				w.cfg.Log.Info("witness did not probe the server; using the other verdicts", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "server", string(s.ID), "error", err.Error())
			}
		})
	}
	calls.Wait()
	combined := verdictUnreachable
	for _, v := range verdicts {
		combined = max(combined, v)
	}
	return combined
}

// selectWitnesses returns the entry VMs that probe a server: some in the server's failure
// domain, which a partition between failure domains does not separate from it, and some in
// failure domains other than the server's and the local one. If it finds none of either
// kind, it returns any reachable entry VMs.
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

// probeAndConfirm is probe, with refused connections confirmed by other entry VMs.
func (w *Watch) probeAndConfirm(s turmericshed.BackendServer) (v verdict, asOf time.Time) {
	v, asOf = w.probe(s)
	if v == verdictTerminated {
		v = w.confirm(s)
	}
	return v, asOf
}
