package tsadmin

import (
	"context"
	"crypto/rand"
	"encoding/base64"
	"encoding/json"
	"slices"
	"time"

	"turmericshed"
	"turmericshed/core/tsupdate"
	"turmericshed/io/tsentry"
)

const (
	// secretBytes is the random part of a client account key.
	keySecretBytes = 32
	// maxKeysPerAccount bounds the keys that are valid at once.
	maxKeysPerAccount = 8
)

// AddAccount makes a key for the account, which is made where it does not
// exist, and returns the key. Only its hash is kept, so it can't be shown
// again. Errors: KindBadRequest; KindConflict when the account has its most
// keys; KindStoreUnavailable and KindStoreUnknown, where the key is not valid
// or not known to be.
func (a *Admin) AddAccount(ctx context.Context, id turmericshed.AccountID) (key string, err error) {
	if err := validateID("account", string(id)); err != nil {
		return "", err
	}
	var secret [keySecretBytes]byte
	_, _ = rand.Read(secret[:])
	key = tsentry.KeyPrefix + string(id) + "." + base64.RawURLEncoding.EncodeToString(secret[:])
	now := a.cfg.Now()
	_, err = tsupdate.Run(ctx, a.cfg.Store, tsupdate.New(turmericshed.AccountPrefix+string(id), addKeyHash(id, tsentry.HashKey(key), now)))
	if err != nil {
		return "", err
	}
	return key, nil
}

// addKey adds a key's hash to an account.
func addKeyHash(id turmericshed.AccountID, hash string, now time.Time) tsupdate.Mutation {
	return func(cur turmericshed.Item) ([]byte, error) {
		doc := turmericshed.Account{ID: id, CreatedAt: now}
		if cur.Version != 0 {
			if err := decodeStrict(cur.Value, &doc); err != nil {
				return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "account %s", id)
			}
		}
		if slices.Contains(doc.KeyHashes, hash) {
			return nil, nil
		}
		if len(doc.KeyHashes) >= maxKeysPerAccount {
			return nil, turmericshed.NewError(turmericshed.KindConflict, "account %s has %d keys: delete it or keep them", id, maxKeysPerAccount)
		}
		doc.KeyHashes = append(doc.KeyHashes, hash)
		return json.Marshal(doc)
	}
}

// Accounts returns every account in the order of their IDs.
func (a *Admin) Accounts(ctx context.Context) ([]turmericshed.Account, error) {
	return listDocuments[turmericshed.Account](ctx, a.cfg.Store, turmericshed.AccountPrefix, func(*turmericshed.Account, turmericshed.Version) {})
}

// DeleteAccount makes every key of the account invalid. Entry VMs that hold
// the document notice within a minute. Errors: KindNotFound.
func (a *Admin) DeleteAccount(ctx context.Context, id turmericshed.AccountID) error {
	return a.deleteKey(ctx, turmericshed.AccountPrefix+string(id), 0)
}

// deleteKey deletes a key; a version other than 0 must be its present one. A
// delete without an answer is repeated on the version first read, so that it
// can't take a document that was made since.
func (a *Admin) deleteKey(ctx context.Context, key string, version turmericshed.Version) error {
	cur, err := a.cfg.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	if cur.Version == 0 {
		return turmericshed.NewError(turmericshed.KindNotFound, "%s does not exist", key)
	}
	if version != 0 && cur.Version != version {
		return turmericshed.NewError(turmericshed.KindConflict, "%s has version %d, not %d", key, cur.Version, version)
	}
	_, err = a.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, Want: cur.Version, Delete: true})
	if turmericshed.KindOf(err) != turmericshed.KindStoreUnknown {
		return err
	}
	latest, readErr := a.cfg.Store.Get(ctx, key)
	switch {
	case readErr != nil:
		return err
	case latest.Version != cur.Version:
		return nil // deleted; what stands there now was made since
	default:
		_, err = a.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, Want: cur.Version, Delete: true})
		if turmericshed.KindOf(err) == turmericshed.KindConflict {
			return nil // the first one landed in between
		}
		return err
	}
}

// list reads every document under a prefix; set is told each one's version.
func listDocuments[T any](ctx context.Context, s turmericshed.Store, prefix string, set func(doc *T, v turmericshed.Version)) ([]T, error) {
	docs := []T{}
	for after := ""; ; {
		items, err := s.List(ctx, prefix, after, listPageSize)
		if err != nil {
			return nil, err
		}
		for _, it := range items {
			var doc T
			if err := json.Unmarshal(it.Value, &doc); err != nil {
				return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "%s", it.Key)
			}
			set(&doc, it.Version)
			docs = append(docs, doc)
			after = it.Key
		}
		if len(items) < listPageSize {
			return docs, nil
		}
	}
}
