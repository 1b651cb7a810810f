package tsupdate_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsupdate"
)

// fakeStore is a transactional store in memory. Each value is a list of words.
type fakeStore struct {
	items    map[string]turmericshed.Item
	revision turmericshed.Version
	calls    int
	// intercept, when set, replaces the call of apply: it may apply a transaction
	// at once, later or never, and may lose its answer.
	intercept func(apply func() (turmericshed.Version, error)) (turmericshed.Version, error)
}

func (s *fakeStore) MaxKeys() int { return 16 }

func (s *fakeStore) Transact(_ context.Context, t turmericshed.Transaction) (turmericshed.Version, error) {
	s.calls++
	apply := func() (turmericshed.Version, error) { return s.apply(t) }
	if s.intercept != nil {
		return s.intercept(apply)
	}
	return apply()
}

func (s *fakeStore) apply(t turmericshed.Transaction) (turmericshed.Version, error) {
	var current []turmericshed.Item
	versionsMatch := true
	for _, w := range t.Writes {
		t.Checks = append(t.Checks, turmericshed.Check{Key: w.Key, ExpectedVersion: w.ExpectedVersion})
	}
	for _, c := range t.Checks {
		i := s.items[c.Key]
		i.Key = c.Key
		current = append(current, i)
		versionsMatch = versionsMatch && i.Version == c.ExpectedVersion
	}
	if !versionsMatch {
		return 0, turmericshed.WithCurrentItems(turmericshed.NewError(turmericshed.KindConflict, "version"), current...)
	}
	s.revision++
	for _, w := range t.Writes {
		s.items[w.Key] = turmericshed.Item{Key: w.Key, Value: w.Value, Version: s.revision}
	}
	return s.revision, nil
}

// addWord returns a mutation that adds word unless the value already contains it.
func addWord(word string) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		if slices.Contains(strings.Fields(string(cur.Value)), word) {
			return nil, nil
		}
		return []byte(string(cur.Value) + word + " "), nil
	}
}

var errRejected = errors.New("unwanted")

func rejectChange(turmericshed.Item) ([]byte, error) { return nil, errRejected }

func assertWords(t *testing.T, s *fakeStore, key, want string) {
	t.Helper()
	assert.Equal(t, strings.TrimSpace(string(s.items[key].Value)), want)
}

func TestBatch(t *testing.T) {
	ctx := context.Background()
	newStore := func() *fakeStore {
		return &fakeStore{items: map[string]turmericshed.Item{
			"a": {Key: "a", Value: []byte("old "), Version: 3}, "b": {Key: "b", Value: []byte("done "), Version: 5},
		}, revision: 5}
	}
	t.Run("keys without a cached version cost one conflict in total", func(t *testing.T) {
		s := newStore()
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x")}, {Key: "b", Mutate: addWord("y")}, {Key: "c", Mutate: addWord("z")}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assert.Equal(t, s.calls, 2)
		assertWords(t, s, "a", "old x")
		assertWords(t, s, "b", "done y")
		assertWords(t, s, "c", "z")
		item, err := b.Result(2)
		assert.NilError(t, err)
		assert.Equal(t, item.Version, s.revision)
	})
	t.Run("keys with a cached version cost one call", func(t *testing.T) {
		s := newStore()
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x"), Cached: s.items["a"]}, {Key: "b", Mutate: addWord("y"), Cached: s.items["b"]}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assert.Equal(t, s.calls, 1)
	})
	t.Run("a rejected change does not block the others", func(t *testing.T) {
		s := newStore()
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: rejectChange, Cached: s.items["a"]}, {Key: "b", Mutate: addWord("y"), Cached: s.items["b"]}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		_, err := b.Result(0)
		assert.ErrorIs(t, err, errRejected)
		assertWords(t, s, "a", "old")
		assertWords(t, s, "b", "done y")
	})
	t.Run("a stale cache alone does not make a change a no-op", func(t *testing.T) {
		s := newStore()
		stale := turmericshed.Item{Key: "a", Value: []byte("old x "), Version: 2}
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x"), Cached: stale}, {Key: "b", Mutate: addWord("y"), Cached: s.items["b"]}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assertWords(t, s, "a", "old x")
	})
	t.Run("a no-op after a current read ends the batch", func(t *testing.T) {
		s := newStore()
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "b", Mutate: addWord("done")}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assert.Equal(t, s.calls, 1)
	})
	t.Run("a lost answer does not apply a change twice", func(t *testing.T) {
		s := newStore()
		lost := false
		s.intercept = func(apply func() (turmericshed.Version, error)) (turmericshed.Version, error) {
			v, err := apply()
			if !lost {
				lost = true
				return 0, turmericshed.NewError(turmericshed.KindStoreUnknown, "no answer")
			}
			return v, err
		}
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x"), Cached: s.items["a"]}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assertWords(t, s, "a", "old x")
	})
	t.Run("a refusal after a lost answer leaves the outcome unknown", func(t *testing.T) {
		s := newStore()
		kinds := []turmericshed.Kind{turmericshed.KindStoreUnknown, turmericshed.KindStoreUnavailable}
		s.intercept = func(func() (turmericshed.Version, error)) (turmericshed.Version, error) {
			return 0, turmericshed.NewError(kinds[s.calls-1], "call %d", s.calls)
		}
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x")}})
		assert.Equal(t, turmericshed.KindOf(tsupdate.RunBatch(ctx, s, b)), turmericshed.KindStoreUnknown)
	})
	t.Run("two changes of one key in one write", func(t *testing.T) {
		s := newStore()
		for _, c := range []tsupdate.Change{
			{Key: "a", Mutate: tsupdate.ComposeMutations(addWord("x"), addWord("y")), Cached: s.items["a"]},
			{Key: "b", Mutate: tsupdate.ComposeMutations(addWord("done"), addWord("y")), Cached: s.items["b"]},
			{Key: "c", Mutate: tsupdate.ComposeMutations(addWord("x"), rejectChange)},
		} {
			assert.NilError(t, tsupdate.RunBatch(ctx, s, tsupdate.NewBatch([]tsupdate.Change{c})))
		}
		assertWords(t, s, "a", "old x y")
		assertWords(t, s, "b", "done y")
		assertWords(t, s, "c", "x")
	})
}

// TestBatchWithLostAnswersAndDelayedWrites runs batches that add words to several
// keys while transactions are applied, dropped or delayed, with or without an
// answer. It guards against batches that are applied partly or twice: a successful
// batch must be applied completely and once, one with an unknown outcome
// completely or not at all.
func TestBatchWithLostAnswersAndDelayedWrites(t *testing.T) {
	keys := []string{"a", "b", "c", "d"}
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := &fakeStore{items: map[string]turmericshed.Item{}}
		var delayed []func() (turmericshed.Version, error)
		applyDelayed := func() {
			if n := len(delayed); n > 0 {
				i := rng.IntN(n)
				_, _ = delayed[i]()
				delayed = slices.Delete(delayed, i, i+1)
			}
		}
		s.intercept = func(apply func() (turmericshed.Version, error)) (turmericshed.Version, error) {
			if rng.IntN(3) == 0 {
				applyDelayed()
			}
			unknown := turmericshed.NewError(turmericshed.KindStoreUnknown, "no answer")
			switch rng.IntN(8) {
			case 0:
				_, _ = apply()
				return 0, unknown
			case 1:
				delayed = append(delayed, apply)
				return 0, unknown
			case 2:
				return 0, unknown
			case 3:
				return 0, turmericshed.NewError(turmericshed.KindStoreUnavailable, "busy")
			default:
				return apply()
			}
		}
		cache := map[string]turmericshed.Item{}
		type outcome struct {
			word string
			keys []string
			err  error
		}
		var outcomes []outcome
		for n := range 12 {
			word := fmt.Sprint("w", n)
			batchKeys := slices.Clone(keys)
			rng.Shuffle(len(batchKeys), func(i, j int) { batchKeys[i], batchKeys[j] = batchKeys[j], batchKeys[i] })
			batchKeys = batchKeys[:1+rng.IntN(len(batchKeys))]
			var changes []tsupdate.Change
			for _, k := range batchKeys {
				changes = append(changes, tsupdate.Change{Key: k, Mutate: addWord(word), Cached: cache[k]})
			}
			b := tsupdate.NewBatch(changes)
			err := tsupdate.RunBatch(t.Context(), s, b)
			for i, k := range batchKeys {
				if item, changeErr := b.Result(i); changeErr == nil && rng.IntN(2) == 0 {
					cache[k] = item
				}
			}
			outcomes = append(outcomes, outcome{word: word, keys: batchKeys, err: err})
		}
		for len(delayed) > 0 {
			applyDelayed()
		}
		for _, o := range outcomes {
			appliedKeys := 0
			for _, k := range o.keys {
				count := 0
				for _, w := range strings.Fields(string(s.items[k].Value)) {
					if w == o.word {
						count++
					}
				}
				assert.Assert(t, count <= 1, "seed %d: %s occurs %d times in %s", seed, o.word, count, k)
				appliedKeys += count
			}
			switch turmericshed.KindOf(o.err) {
			case turmericshed.KindNone:
				assert.Equal(t, appliedKeys, len(o.keys), "seed %d: %s", seed, o.word)
			case turmericshed.KindStoreUnavailable:
				assert.Equal(t, appliedKeys, 0, "seed %d: %s", seed, o.word)
			default:
				assert.Assert(t, appliedKeys == 0 || appliedKeys == len(o.keys), "seed %d: %s occurs in %d of %d", seed, o.word, appliedKeys, len(o.keys))
			}
		}
	}
}
