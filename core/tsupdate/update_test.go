package tsupdate_test

import (
	"testing"

	"turmericshed"
	"turmericshed/core/tsupdate"

	"gotest.tools/v3/assert"
)

// setX is an idempotent mutation: it writes x unless the value is x already.
func setX(cur turmericshed.Item) ([]byte, error) {
	if string(cur.Value) == "x" {
		return nil, nil
	}
	return []byte("x"), nil
}

func handle(t *testing.T, u *tsupdate.Update, wantRead bool, r tsupdate.StepResult) {
	t.Helper()
	assert.Equal(t, u.Step().Read, wantRead)
	u.Handle(r)
}

func TestUpdate(t *testing.T) {
	unknown := turmericshed.NewError(turmericshed.KindStoreUnknown, "no answer")
	conflict := turmericshed.NewError(turmericshed.KindConflict, "version")
	t.Run("lost answer of a write that took effect", func(t *testing.T) {
		u := tsupdate.New("k", setX)
		handle(t, u, true, tsupdate.StepResult{})
		handle(t, u, false, tsupdate.StepResult{Err: unknown})
		handle(t, u, true, tsupdate.StepResult{Item: turmericshed.Item{Value: []byte("x"), Version: 1}})
		item, err := u.Result()
		assert.NilError(t, err)
		assert.Equal(t, item.Version, turmericshed.Version(1))
	})
	t.Run("write that lands after the read-back", func(t *testing.T) {
		u := tsupdate.New("k", setX)
		handle(t, u, true, tsupdate.StepResult{})
		handle(t, u, false, tsupdate.StepResult{Err: unknown})
		handle(t, u, true, tsupdate.StepResult{})
		handle(t, u, false, tsupdate.StepResult{Err: conflict})
		handle(t, u, true, tsupdate.StepResult{Item: turmericshed.Item{Value: []byte("x"), Version: 1}})
		_, err := u.Result()
		assert.NilError(t, err)
	})
	t.Run("canceling after an ambiguous write leaves the outcome unknown", func(t *testing.T) {
		u := tsupdate.New("k", setX)
		handle(t, u, true, tsupdate.StepResult{})
		handle(t, u, false, tsupdate.StepResult{Err: unknown})
		handle(t, u, true, tsupdate.StepResult{Err: turmericshed.NewError(turmericshed.KindStoreUnavailable, "down")})
		_, err := u.Result()
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindStoreUnknown)
	})
	t.Run("a stale cache costs a conflict only", func(t *testing.T) {
		u := tsupdate.NewFrom(turmericshed.Item{Key: "k", Version: 1}, setX)
		handle(t, u, false, tsupdate.StepResult{Err: conflict})
		handle(t, u, true, tsupdate.StepResult{Item: turmericshed.Item{Version: 7}})
		assert.Equal(t, u.Step().Write.ExpectedVersion, turmericshed.Version(7))
	})
}
