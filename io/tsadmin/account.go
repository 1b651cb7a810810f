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
	// keySecretBytes is the length of the random part of a client account key.
	keySecretBytes = 32
	// maxKeysPerAccount bounds the keys of an account that are valid at once.
	maxKeysPerAccount = 8
)

// AddAccount creates a key for the account, creates the account if it does not exist,
// and returns the key. Only the key's hash is stored, so the key can't be shown
// again. Errors: KindBadRequest; KindConflict if the account already has
// maxKeysPerAccount keys; KindStoreUnavailable (the key is not valid);
// KindStoreUnknown (the key may be valid).
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

// addKeyHash adds a key's hash to an account, which it creates if needed. A hash
// that is already there changes nothing, so the mutation can be repeated.
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

// Accounts returns every account in order of ID.
func (a *Admin) Accounts(ctx context.Context) ([]turmericshed.Account, error) {
	return listDocuments[turmericshed.Account](ctx, a.cfg.Store, turmericshed.AccountPrefix, func(*turmericshed.Account, turmericshed.Version) {})
}

// DeleteAccount deletes the account, which invalidates all its keys. Entry VMs that
// have cached the account reject the keys within a minute. Errors: KindNotFound, and
// those of the store.
func (a *Admin) DeleteAccount(ctx context.Context, id turmericshed.AccountID) error {
	return a.deleteKey(ctx, turmericshed.AccountPrefix+string(id), 0)
}

// deleteKey deletes the document of a key; a version other than 0 must be the current
// one. A delete with an unknown outcome is repeated for the version read first, so
// that it can't delete a document that was created since. Errors: KindNotFound;
// KindConflict for another version; those of the store.
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
	_, err = a.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, ExpectedVersion: cur.Version, Delete: true})
	if turmericshed.KindOf(err) != turmericshed.KindStoreUnknown {
		return err
	}
	latest, readErr := a.cfg.Store.Get(ctx, key)
	switch {
	case readErr != nil:
		return err
	case latest.Version != cur.Version:
		return nil // deleted; a document there now was created since
	default:
		_, err = a.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: key, ExpectedVersion: cur.Version, Delete: true})
		if turmericshed.KindOf(err) == turmericshed.KindConflict {
			return nil // the first delete took effect in the meantime
		}
		return err
	}
}

// listDocuments reads every document under a prefix and calls set with each one and
// its version.
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
