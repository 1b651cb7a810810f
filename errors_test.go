package turmericshed_test

import (
	"errors"
	"testing"
	"time"

	"turmericshed"

	"gotest.tools/v3/assert"
)

func TestKindTable(t *testing.T) {
	seen := map[string]bool{}
	for _, k := range turmericshed.Kinds() {
		info := k.Info()
		t.Run(info.Name, func(t *testing.T) {
			assert.Assert(t, info.Name != "" && !seen[info.Name], "kind %d has no name of its own", int(k))
			assert.Assert(t, info.Status >= 400 && info.Status < 600)
			assert.Assert(t, info.Outcome != "")
			seen[info.Name] = true
		})
	}
}

func TestErrorAttributes(t *testing.T) {
	t.Run("kind survives wrapping", func(t *testing.T) {
		err := turmericshed.WithRetryAfter(turmericshed.NewError(turmericshed.KindOverloaded, "queue full"), time.Minute)
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindOverloaded)
		assert.Equal(t, turmericshed.RetryAfterOf(err), time.Minute)
	})
	t.Run("outer kind wins", func(t *testing.T) {
		err := turmericshed.WrapError(turmericshed.KindStoreUnknown, turmericshed.NewError(turmericshed.KindConflict, "x"), "key")
		assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindStoreUnknown)
		assert.Error(t, err, "key: x")
	})
	t.Run("a plain error is internal", func(t *testing.T) {
		assert.Equal(t, turmericshed.KindOf(errors.New("x")), turmericshed.KindInternal)
	})
	t.Run("assert panics with its type", func(t *testing.T) {
		defer func() {
			inv, ok := turmericshed.AsInvariant(recover())
			assert.Assert(t, ok)
			assert.Equal(t, inv.Name, "within_prepaid")
		}()
		turmericshed.Assert(false, "within_prepaid", "spent %d", 3)
	})
}
