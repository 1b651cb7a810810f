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

// fakeStore is a store of words by key, with transactions.
type fakeStore struct {
	items    map[string]turmericshed.Item
	revision turmericshed.Version
	calls    int
	// intercept, when set, decides over a transaction's answer: it may be applied
	// or not, now or later, and its answer lost.
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
	holds := true
	for _, w := range t.Writes {
		t.Checks = append(t.Checks, turmericshed.Check{Key: w.Key, Want: w.Want})
	}
	for _, c := range t.Checks {
		i := s.items[c.Key]
		i.Key = c.Key
		current = append(current, i)
		holds = holds && i.Version == c.Want
	}
	if !holds {
		return 0, turmericshed.WithCurrent(turmericshed.NewError(turmericshed.KindConflict, "version"), current...)
	}
	s.revision++
	for _, w := range t.Writes {
		s.items[w.Key] = turmericshed.Item{Key: w.Key, Value: w.Value, Version: s.revision}
	}
	return s.revision, nil
}

// addWord adds a word to the key's words, once.
func addWord(word string) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		if slices.Contains(strings.Fields(string(cur.Value)), word) {
			return nil, nil
		}
		return []byte(string(cur.Value) + word + " "), nil
	}
}

var errUnwanted = errors.New("unwanted")

func refuse(turmericshed.Item) ([]byte, error) { return nil, errUnwanted }

func assertWords(t *testing.T, s *fakeStore, key, want string) {
	t.Helper()
	assert.Equal(t, strings.TrimSpace(string(s.items[key].Value)), want)
}

func TestBatch(t *testing.T) {
	ctx := context.Background()
	newShelf := func() *fakeStore {
		return &fakeStore{items: map[string]turmericshed.Item{
			"a": {Key: "a", Value: []byte("old "), Version: 3}, "b": {Key: "b", Value: []byte("done "), Version: 5},
		}, revision: 5}
	}
	t.Run("keys that are not known cost one conflict for all", func(t *testing.T) {
		s := newShelf()
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
	t.Run("known keys cost one call", func(t *testing.T) {
		s := newShelf()
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x"), Cached: s.items["a"]}, {Key: "b", Mutate: addWord("y"), Cached: s.items["b"]}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assert.Equal(t, s.calls, 1)
	})
	t.Run("a change that is refused does not hold up the others", func(t *testing.T) {
		s := newShelf()
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: refuse, Cached: s.items["a"]}, {Key: "b", Mutate: addWord("y"), Cached: s.items["b"]}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		_, err := b.Result(0)
		assert.ErrorIs(t, err, errUnwanted)
		assertWords(t, s, "a", "old")
		assertWords(t, s, "b", "done y")
	})
	t.Run("nothing to write is not taken from a stale cache", func(t *testing.T) {
		s := newShelf()
		stale := turmericshed.Item{Key: "a", Value: []byte("old x "), Version: 2}
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x"), Cached: stale}, {Key: "b", Mutate: addWord("y"), Cached: s.items["b"]}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assertWords(t, s, "a", "old x")
	})
	t.Run("nothing to write after a fresh reading ends the batch", func(t *testing.T) {
		s := newShelf()
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "b", Mutate: addWord("done")}})
		assert.NilError(t, tsupdate.RunBatch(ctx, s, b))
		assert.Equal(t, s.calls, 1)
	})
	t.Run("an answer that is lost once", func(t *testing.T) {
		s := newShelf()
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
		s := newShelf()
		kinds := []turmericshed.Kind{turmericshed.KindStoreUnknown, turmericshed.KindStoreUnavailable}
		s.intercept = func(func() (turmericshed.Version, error)) (turmericshed.Version, error) {
			return 0, turmericshed.NewError(kinds[s.calls-1], "call %d", s.calls)
		}
		b := tsupdate.NewBatch([]tsupdate.Change{{Key: "a", Mutate: addWord("x")}})
		assert.Equal(t, turmericshed.KindOf(tsupdate.RunBatch(ctx, s, b)), turmericshed.KindStoreUnknown)
	})
	t.Run("two changes of one key in one write", func(t *testing.T) {
		s := newShelf()
		for _, c := range []tsupdate.Change{
			{Key: "a", Mutate: tsupdate.Then(addWord("x"), addWord("y")), Cached: s.items["a"]},
			{Key: "b", Mutate: tsupdate.Then(addWord("done"), addWord("y")), Cached: s.items["b"]},
			{Key: "c", Mutate: tsupdate.Then(addWord("x"), refuse)},
		} {
			assert.NilError(t, tsupdate.RunBatch(ctx, s, tsupdate.NewBatch([]tsupdate.Change{c})))
		}
		assertWords(t, s, "a", "old x y")
		assertWords(t, s, "b", "done y")
		assertWords(t, s, "c", "x")
	})
}

// TestBatchWithLostAnswersAndDelayedWrites lets three writers add words to keys in
// batches, while transactions are applied, dropped or applied late, answered
// or not. A batch that succeeded stands whole and once; one whose outcome is
// unknown stands whole or not at all.
func TestBatchWithLostAnswersAndDelayedWrites(t *testing.T) {
	keys := []string{"a", "b", "c", "d"}
	for seed := range uint64(3000) {
		rng := rand.New(rand.NewPCG(seed, 7))
		s := &fakeStore{items: map[string]turmericshed.Item{}}
		var late []func() (turmericshed.Version, error)
		land := func() {
			if n := len(late); n > 0 {
				i := rng.IntN(n)
				_, _ = late[i]()
				late = slices.Delete(late, i, i+1)
			}
		}
		s.intercept = func(apply func() (turmericshed.Version, error)) (turmericshed.Version, error) {
			if rng.IntN(3) == 0 {
				land()
			}
			unknown := turmericshed.NewError(turmericshed.KindStoreUnknown, "no answer")
			switch rng.IntN(8) {
			case 0:
				_, _ = apply()
				return 0, unknown
			case 1:
				late = append(late, apply)
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
			mine := slices.Clone(keys)
			rng.Shuffle(len(mine), func(i, j int) { mine[i], mine[j] = mine[j], mine[i] })
			mine = mine[:1+rng.IntN(len(mine))]
			var changes []tsupdate.Change
			for _, k := range mine {
				changes = append(changes, tsupdate.Change{Key: k, Mutate: addWord(word), Cached: cache[k]})
			}
			b := tsupdate.NewBatch(changes)
			err := tsupdate.RunBatch(t.Context(), s, b)
			for i, k := range mine {
				if item, partErr := b.Result(i); partErr == nil && rng.IntN(2) == 0 {
					cache[k] = item
				}
			}
			outcomes = append(outcomes, outcome{word: word, keys: mine, err: err})
		}
		for len(late) > 0 {
			land()
		}
		for _, o := range outcomes {
			stands := 0
			for _, k := range o.keys {
				count := 0
				for _, w := range strings.Fields(string(s.items[k].Value)) {
					if w == o.word {
						count++
					}
				}
				assert.Assert(t, count <= 1, "seed %d: %s stands %d times in %s", seed, o.word, count, k)
				stands += count
			}
			switch turmericshed.KindOf(o.err) {
			case turmericshed.KindNone:
				assert.Equal(t, stands, len(o.keys), "seed %d: %s", seed, o.word)
			case turmericshed.KindStoreUnavailable:
				assert.Equal(t, stands, 0, "seed %d: %s", seed, o.word)
			default:
				assert.Assert(t, stands == 0 || stands == len(o.keys), "seed %d: %s stands in %d of %d", seed, o.word, stands, len(o.keys))
			}
		}
	}
}
