package tsexperiment

import (
	"context"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsupdate"
)

// The systems under comparison.
const (
	systemClaims = "claims"
	systemMemory = "memory_of_one_vm"
	systemPerKey = "write_a_claim"
)

// memoryClaims is the baseline that tracks the calls of its own entry VM only, in memory.
type memoryClaims struct {
	mu    sync.Mutex
	calls map[tsclaim.ID]*memoryCall
	byID  map[turmericshed.ClaimID]*memoryCall
}

type memoryCall struct {
	id     tsclaim.ID
	done   chan struct{}
	answer *turmericshed.Answer
}

var _ turmericshed.Claims = (*memoryClaims)(nil)

func newMemoryClaims() *memoryClaims {
	return &memoryClaims{calls: map[tsclaim.ID]*memoryCall{}, byID: map[turmericshed.ClaimID]*memoryCall{}}
}

// Claim waits for an earlier call with the same key at this VM, or starts a new one.
func (m *memoryClaims) Claim(ctx context.Context, c turmericshed.Call) (turmericshed.ClaimDecision, error) {
	id := tsclaim.NewID(c.Account, c.Key)
	m.mu.Lock()
	call, ok := m.calls[id]
	if !ok {
		call = &memoryCall{id: id, done: make(chan struct{})}
		claim := turmericshed.ClaimID(turmericshed.NewID("claim-"))
		m.calls[id], m.byID[claim] = call, call
		m.mu.Unlock()
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimRun, Claim: claim}, nil
	}
	m.mu.Unlock()
	select {
	case <-call.done:
	case <-ctx.Done():
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if call.answer != nil {
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Answer: *call.answer}, nil
	}
	return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown}, nil
}

// Dispatch allows every call.
func (m *memoryClaims) Dispatch(turmericshed.ClaimID) error { return nil }

func (m *memoryClaims) finish(id turmericshed.ClaimID, a *turmericshed.Answer, remove bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	call := m.byID[id]
	call.answer = a
	close(call.done)
	if remove {
		delete(m.calls, call.id)
	}
}

// Complete stores the answer in memory.
func (m *memoryClaims) Complete(_ context.Context, id turmericshed.ClaimID, a turmericshed.Answer) error {
	m.finish(id, &a, false)
	return nil
}

// Abandon removes the call.
func (m *memoryClaims) Abandon(_ context.Context, id turmericshed.ClaimID) error {
	m.finish(id, nil, true)
	return nil
}

// Doubt retains the call without an answer.
func (m *memoryClaims) MarkInDoubt(_ context.Context, id turmericshed.ClaimID, _ string) error {
	m.finish(id, nil, false)
	return nil
}

// Drain does nothing.
func (m *memoryClaims) Drain(context.Context) error { return nil }

// perKeyClaims is the baseline that writes each claim and each answer under a separate key.
type perKeyClaims struct {
	store  turmericshed.Store
	runner turmericshed.Incarnation
	mu     sync.Mutex
	ops    map[turmericshed.ClaimID]tsclaim.Op
}

var _ turmericshed.Claims = (*perKeyClaims)(nil)

func newPerKeyClaims(s turmericshed.Store, runner turmericshed.Incarnation) *perKeyClaims {
	return &perKeyClaims{store: s, runner: runner, ops: map[turmericshed.ClaimID]tsclaim.Op{}}
}

// apply writes one operation to the document of its call.
func (k *perKeyClaims) apply(ctx context.Context, op tsclaim.Op) (tsclaim.Result, error) {
	var res tsclaim.Result
	mutate := func(cur turmericshed.Item) ([]byte, error) {
		h, err := tsclaim.DecodeHead(cur.Value, 0)
		if err != nil {
			return nil, err
		}
		if res = h.Apply(op, time.Now(), nil); !res.Changed {
			return nil, res.Err
		}
		return h.Encode()
	}
	u := tsupdate.New(turmericshed.ClaimPrefix+"each/"+string(op.ID), mutate)
	if op.Kind == tsclaim.OpClaim {
		u = tsupdate.NewFrom(turmericshed.Item{Key: turmericshed.ClaimPrefix + "each/" + string(op.ID)}, mutate)
	}
	_, err := tsupdate.Run(ctx, k.store, u)
	return res, err
}

// Claim writes the claim. It does not wait for another runner.
func (k *perKeyClaims) Claim(ctx context.Context, c turmericshed.Call) (turmericshed.ClaimDecision, error) {
	claim := turmericshed.ClaimID(turmericshed.NewID("claim-"))
	op := tsclaim.ClaimOp(c, claim, k.runner)
	res, err := k.apply(ctx, op)
	if err != nil {
		return turmericshed.ClaimDecision{}, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "write claim")
	}
	switch {
	case res.Entry.Claim == claim:
		k.mu.Lock()
		k.ops[claim] = op
		k.mu.Unlock()
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimRun, Claim: claim}, nil
	case res.Entry.State == tsclaim.StateDone:
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimReplay, Answer: *res.Entry.Answer}, nil
	default:
		return turmericshed.ClaimDecision{Verdict: turmericshed.ClaimUnknown}, nil
	}
}

// Dispatch allows every claimed call.
func (k *perKeyClaims) Dispatch(turmericshed.ClaimID) error { return nil }

func (k *perKeyClaims) finish(ctx context.Context, id turmericshed.ClaimID, op tsclaim.Op) error {
	k.mu.Lock()
	held := k.ops[id]
	k.mu.Unlock()
	op.ID, op.Claim = held.ID, id
	for {
		_, err := k.apply(ctx, op)
		kind := turmericshed.KindOf(err)
		if kind != turmericshed.KindStoreUnavailable && kind != turmericshed.KindStoreUnknown || ctx.Err() != nil {
			return err
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// Complete writes the answer.
func (k *perKeyClaims) Complete(ctx context.Context, id turmericshed.ClaimID, a turmericshed.Answer) error {
	return k.finish(ctx, id, tsclaim.Op{Kind: tsclaim.OpComplete, Entry: tsclaim.Entry{Answer: &a}})
}

// Abandon records that the call was not sent.
func (k *perKeyClaims) Abandon(ctx context.Context, id turmericshed.ClaimID) error {
	return k.finish(ctx, id, tsclaim.Op{Kind: tsclaim.OpAbandon, NeverSent: true})
}

// Doubt records that the call may have run.
func (k *perKeyClaims) MarkInDoubt(ctx context.Context, id turmericshed.ClaimID, reason string) error {
	return k.finish(ctx, id, tsclaim.Op{Kind: tsclaim.OpDoubt, Entry: tsclaim.Entry{Reason: reason}})
}

// Drain does nothing.
func (k *perKeyClaims) Drain(context.Context) error { return nil }
