package tsadmin_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsadmin"
	"turmericshed/io/tsentry"
	"turmericshed/standin/tsplatform"
)

// Guards against keys that are stored in plain text or added twice, and against
// deletes that are lost, or delete a newer account, when an answer is lost or late.
func TestAccounts(t *testing.T) {
	s := tsplatform.NewStore(tsplatform.Options{})
	a := tsadmin.New(tsadmin.Config{Store: s, Operator: "ana"})
	t.Run("a key is stored only as a hash", func(t *testing.T) {
		key, err := a.AddAccount(t.Context(), "a1")
		assert.NilError(t, err)
		it, err := s.Get(t.Context(), turmericshed.AccountPrefix+"a1")
		assert.NilError(t, err)
		assert.Assert(t, !strings.Contains(string(it.Value), key[len("ts.a1."):]))
		assert.Assert(t, strings.Contains(string(it.Value), tsentry.HashKey(key)))
	})
	t.Run("an add whose answer is lost adds one key", func(t *testing.T) {
		s.SetFaults(tsplatform.Faults{LoseAnswers: 1})
		_, err := a.AddAccount(t.Context(), "a2")
		assert.NilError(t, err)
		accounts, err := a.Accounts(t.Context())
		assert.NilError(t, err)
		assert.Assert(t, len(accounts) == 2 && len(accounts[1].KeyHashes) == 1)
	})
	t.Run("an invalid name is rejected", func(t *testing.T) {
		_, err := a.AddAccount(t.Context(), "a/b")
		assertKind(t, err, turmericshed.KindBadRequest)
	})
	t.Run("a delete whose answer is lost deletes once", func(t *testing.T) {
		s.SetFaults(tsplatform.Faults{LoseAnswers: 1})
		assert.NilError(t, a.DeleteAccount(t.Context(), "a1"))
		assertKind(t, a.DeleteAccount(t.Context(), "a1"), turmericshed.KindNotFound)
	})
	t.Run("a delayed delete is retried", func(t *testing.T) {
		s.SetFaults(tsplatform.Faults{HoldWrites: 1})
		assert.NilError(t, a.DeleteAccount(t.Context(), "a2"))
		_, err := a.AddAccount(t.Context(), "a2")
		assert.NilError(t, err)
		assert.Equal(t, s.ApplyHeldWrites(), 0)
	})
}
