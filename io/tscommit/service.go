package tscommit

import (
	"context"
	"errors"
	"net/http"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/io/tspeerapi"
)

// Handler returns the path and the HTTP handler for calls of peers.
func (c *Committer) Handler() (string, http.Handler) {
	return tspeerapi.NewLedgerServiceHandler(service{c, c.notes})
}

// service implements the RPC service that peers call.
type service struct {
	writer tsbudget.LedgerWriter
	notes  *notes
}

// WriteLedgers commits a holder's request. Errors: CodeUnknown if it may have been
// written, CodeUnavailable if it was not.
func (s service) WriteLedgers(ctx context.Context, r *connect.Request[tspeerapi.WriteLedgersRequest]) (*connect.Response[tspeerapi.WriteLedgersResponse], error) {
	reply, err := s.writer.Commit(ctx, decodeRequest(r.Msg))
	switch {
	case err == nil:
		return connect.NewResponse(encodeReply(reply)), nil
	case turmericshed.KindOf(err) == turmericshed.KindStoreUnknown:
		return nil, connect.NewError(connect.CodeUnknown, err)
	default:
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
}

// callError converts the error of a failed call. Only CodeUnavailable sent by the
// peer itself proves that nothing was written and becomes KindStoreUnavailable; all
// others become KindStoreUnknown.
func callError(err error) error {
	var e *connect.Error
	if errors.As(err, &e) && connect.IsWireError(err) && e.Code() == connect.CodeUnavailable {
		return turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "ledgers")
	}
	return turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "ledgers")
}

func toMillis(t time.Time) int64 { return t.UnixMilli() }

func fromMillis(ms int64) time.Time { return time.UnixMilli(ms).UTC() }

func encodeRequest(r tsbudget.Request) *tspeerapi.WriteLedgersRequest {
	m := &tspeerapi.WriteLedgersRequest{
		EntryVm: r.VM, Incarnation: string(r.Incarnation), Leave: r.Leave, Urgent: r.Urgent, Count: r.WriteUsage,
		Cursor: &tspeerapi.LedgerCursor{Writer: string(r.Cursor.Writer), At: r.Cursor.At}, HoldingBefore: uint64(r.HoldingBefore),
	}
	for _, ch := range r.Changes {
		m.Changes = append(m.Changes, encodeChange(ch))
	}
	if t := r.Takeover; t != nil {
		m.Takeover = &tspeerapi.LedgerTakeover{From: string(t.From), NowMs: toMillis(t.Now)}
	}
	if d := r.Declaration; d != nil {
		m.Declaration = &tspeerapi.LedgerDeclaration{Sequence: d.Sequence, Lease: string(d.Lease), SinceMs: toMillis(d.Since)}
		for _, c := range d.Ceilings {
			m.Declaration.Ceilings = append(m.Declaration.Ceilings, &tspeerapi.LedgerCeiling{Budget: string(c.Budget), Lot: string(c.Lot), Most: int64(c.Most)})
		}
	}
	return m
}

func encodeChange(ch tsbudget.Change) *tspeerapi.LedgerChange {
	m := &tspeerapi.LedgerChange{
		Budget: string(ch.Budget), Profile: string(ch.Profile), Prepaid: int64(ch.Prepaid), Withdraw: string(ch.Withdraw),
		Urgent: ch.Urgent,
	}
	for _, r := range ch.Reports {
		m.Reports = append(m.Reports, &tspeerapi.LedgerReport{
			Lot: string(r.Lot), Used: int64(r.Used), Returned: int64(r.Returned), Requests: r.Requests, Final: r.Final,
		})
	}
	if d := ch.Draw; d != nil {
		m.Draw = &tspeerapi.LedgerDraw{
			Lot: string(d.Lot), Want: int64(d.Want), Min: int64(d.Min), Share: d.Share, Rate: d.Rate, AtMs: toMillis(d.At),
			KeepUndrawn: int64(d.KeepUndrawn),
		}
	}
	if e := ch.Reentry; e != nil {
		m.Reentry = &tspeerapi.LedgerReentry{Era: e.Era, Sequence: e.Sequence, Known: encodeState(e.Known)}
		for _, l := range e.Lots {
			m.Reentry.Lots = append(m.Reentry.Lots, encodeLot(ch.Budget, l))
		}
	}
	return m
}

func encodeLot(id turmericshed.BudgetID, l tsbudget.Lot) *tspeerapi.LedgerLot {
	return &tspeerapi.LedgerLot{
		Budget: string(id), Lot: string(l.ID), Drawn: int64(l.Drawn), Returned: int64(l.Returned), Used: int64(l.Used),
		Requests: l.Requests, Rate: l.Rate, AtMs: toMillis(l.At),
	}
}

func decodeLot(m *tspeerapi.LedgerLot, holder turmericshed.Incarnation) tsbudget.Lot {
	return tsbudget.Lot{
		ID: turmericshed.LotID(m.Lot), Holder: holder, Drawn: turmericshed.Tokens(m.Drawn), Returned: turmericshed.Tokens(m.Returned),
		Used: turmericshed.Tokens(m.Used), Requests: m.Requests, Rate: m.Rate, At: fromMillis(m.AtMs),
	}
}

func decodeRequest(m *tspeerapi.WriteLedgersRequest) tsbudget.Request {
	r := tsbudget.Request{
		VM: m.EntryVm, Incarnation: turmericshed.Incarnation(m.Incarnation), Leave: m.Leave, Urgent: m.Urgent, WriteUsage: m.Count,
		Cursor: tsbudget.Cursor{Writer: turmericshed.Incarnation(m.GetCursor().GetWriter()), At: m.GetCursor().GetAt()}, HoldingBefore: turmericshed.Version(m.HoldingBefore),
	}
	for _, ch := range m.Changes {
		r.Changes = append(r.Changes, decodeChange(ch, r.Incarnation))
	}
	if t := m.Takeover; t != nil {
		r.Takeover = &tsbudget.Takeover{From: turmericshed.Incarnation(t.From), Now: fromMillis(t.NowMs)}
	}
	if d := m.Declaration; d != nil {
		r.Declaration = &tsbudget.Declaration{Sequence: d.Sequence, Lease: turmericshed.LeaseID(d.Lease), Since: fromMillis(d.SinceMs)}
		for _, c := range d.Ceilings {
			r.Declaration.Ceilings = append(r.Declaration.Ceilings, tsbudget.LotCeiling{
				Budget: turmericshed.BudgetID(c.Budget), Lot: turmericshed.LotID(c.Lot), Most: turmericshed.Tokens(c.Most),
			})
		}
	}
	return r
}

func decodeChange(m *tspeerapi.LedgerChange, holder turmericshed.Incarnation) tsbudget.Change {
	ch := tsbudget.Change{
		Budget: turmericshed.BudgetID(m.Budget), Profile: turmericshed.ProfileName(m.Profile), Prepaid: turmericshed.Tokens(m.Prepaid),
		Withdraw: turmericshed.LotID(m.Withdraw), Urgent: m.Urgent,
	}
	for _, r := range m.Reports {
		ch.Reports = append(ch.Reports, tsbudget.Report{
			Lot: turmericshed.LotID(r.Lot), Used: turmericshed.Tokens(r.Used), Returned: turmericshed.Tokens(r.Returned), Requests: r.Requests, Final: r.Final,
		})
	}
	if d := m.Draw; d != nil {
		ch.Draw = &tsbudget.DrawRequest{
			Lot: turmericshed.LotID(d.Lot), Holder: holder, Want: turmericshed.Tokens(d.Want), Min: turmericshed.Tokens(d.Min),
			Share: d.Share, KeepUndrawn: turmericshed.Tokens(d.KeepUndrawn), Rate: d.Rate, At: fromMillis(d.AtMs),
		}
	}
	if e := m.Reentry; e != nil {
		ch.Reentry = &tsbudget.Reentry{Era: e.Era, Sequence: e.Sequence, Holder: holder, Known: decodeState(e.GetKnown())}
		for _, l := range e.Lots {
			ch.Reentry.Lots = append(ch.Reentry.Lots, decodeLot(l, holder))
		}
	}
	return ch
}

func encodeReply(r tsbudget.Reply) *tspeerapi.WriteLedgersResponse {
	m := &tspeerapi.WriteLedgersResponse{
		Standing: string(r.CurrentIncarnation), Lease: string(r.Lease), Declared: r.Declared, NextMs: r.Next.Milliseconds(), Holding: uint64(r.Holding),
		Cursor: &tspeerapi.LedgerCursor{Writer: string(r.Cursor.Writer), At: r.Cursor.At},
	}
	for _, i := range r.Ledgers {
		m.Ledgers = append(m.Ledgers, &tspeerapi.LedgerItem{Key: i.Key, Value: i.Value, Version: uint64(i.Version)})
	}
	for id, lots := range r.Lots {
		for _, l := range lots {
			m.Lots = append(m.Lots, encodeLot(id, l))
		}
	}
	for id, free := range r.Pools {
		m.Pools = append(m.Pools, &tspeerapi.LedgerPool{Budget: string(id), Free: int64(free)})
	}
	for id, err := range r.Errs {
		m.Errors = append(m.Errors, &tspeerapi.LedgerError{Budget: string(id), Kind: turmericshed.KindOf(err).String(), Message: err.Error()})
	}
	return m
}

func decodeReply(m *tspeerapi.WriteLedgersResponse, holder turmericshed.Incarnation) tsbudget.Reply {
	r := tsbudget.Reply{
		CurrentIncarnation: turmericshed.Incarnation(m.Standing), Lease: turmericshed.LeaseID(m.Lease), Declared: m.Declared, Holding: turmericshed.Version(m.Holding),
		Next: time.Duration(m.NextMs) * time.Millisecond,
		Lots: make(map[turmericshed.BudgetID][]tsbudget.Lot), Errs: make(map[turmericshed.BudgetID]error),
		Pools:  make(map[turmericshed.BudgetID]turmericshed.Tokens),
		Cursor: tsbudget.Cursor{Writer: turmericshed.Incarnation(m.GetCursor().GetWriter()), At: m.GetCursor().GetAt()},
	}
	for _, i := range m.Ledgers {
		r.Ledgers = append(r.Ledgers, turmericshed.Item{Key: i.Key, Value: i.Value, Version: turmericshed.Version(i.Version)})
	}
	for _, l := range m.Lots {
		id := turmericshed.BudgetID(l.Budget)
		r.Lots[id] = append(r.Lots[id], decodeLot(l, holder))
	}
	for _, p := range m.Pools {
		r.Pools[turmericshed.BudgetID(p.Budget)] = turmericshed.Tokens(p.Free)
	}
	for _, e := range m.Errors {
		r.Errs[turmericshed.BudgetID(e.Budget)] = turmericshed.NewError(turmericshed.ParseKind(e.Kind), "%s", e.Message)
	}
	return r
}
