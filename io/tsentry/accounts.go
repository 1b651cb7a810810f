package tsentry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"strings"
	"time"

	lru "github.com/hashicorp/golang-lru/v2"
	"golang.org/x/sync/singleflight"

	"turmericshed"
)

// Account documents held in memory.
const (
	accountCacheSize = 4096
	// accountMaxAge is the age at which a document is read again; while the
	// store is away an older one serves.
	accountMaxAge = 60 * time.Second
	// accountReadTimeout bounds one read of the store.
	accountReadTimeout = 2 * time.Second
	// KeyPrefix starts every client account key, which has the form
	// ts.<account>.<secret>.
	KeyPrefix = "ts."
)

type cachedAccount struct {
	doc    turmericshed.Account
	exists bool
	readAt time.Time
}

// accounts checks client account keys against the documents in the store.
type accounts struct {
	store turmericshed.Store
	cache *lru.Cache[turmericshed.AccountID, cachedAccount]
	reads singleflight.Group
}

func newAccounts(store turmericshed.Store) (*accounts, error) {
	cache, err := lru.New[turmericshed.AccountID, cachedAccount](accountCacheSize)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "account cache")
	}
	return &accounts{store: store, cache: cache}, nil
}

// authenticate returns the account of an Authorization header.
func (a *accounts) authenticate(ctx context.Context, header string) (turmericshed.AccountID, error) {
	key, ok := bearer(header)
	if !ok {
		return "", turmericshed.NewError(turmericshed.KindUnauthenticated, "want Authorization: Bearer <client account key>")
	}
	id, ok := accountOfKey(key)
	if !ok {
		return "", errBadKey()
	}
	doc, err := a.get(ctx, id)
	if err != nil {
		return "", err
	}
	hash := HashKey(key)
	match := 0
	for _, h := range doc.KeyHashes {
		match |= subtle.ConstantTimeCompare([]byte(h), []byte(hash))
	}
	if match != 1 {
		return "", errBadKey()
	}
	return id, nil
}

// HashKey returns the hex SHA-256 of a key, the only form that is kept.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// errBadKey is the same for an unknown account and a wrong key.
func errBadKey() error {
	return turmericshed.NewError(turmericshed.KindUnauthenticated, "client account key is not valid")
}

// accountOfKey returns the account named in a key.
func accountOfKey(key string) (turmericshed.AccountID, bool) {
	rest, ok := strings.CutPrefix(key, KeyPrefix)
	if !ok {
		return "", false
	}
	i := strings.LastIndexByte(rest, '.')
	if i <= 0 || strings.ContainsAny(rest[:i], "/ ") || len(key) > maxKeyBytes {
		return "", false
	}
	return turmericshed.AccountID(rest[:i]), true
}

// get returns the account's document, from memory while it is fresh or the
// store is away.
func (a *accounts) get(ctx context.Context, id turmericshed.AccountID) (turmericshed.Account, error) {
	held, ok := a.cache.Get(id)
	if ok && time.Since(held.readAt) < accountMaxAge {
		return held.doc, nil
	}
	v, err, _ := a.reads.Do(string(id), func() (any, error) { return a.read(ctx, id) })
	if err == nil {
		return v.(cachedAccount).doc, nil
	}
	if ok && held.exists {
		return held.doc, nil
	}
	return turmericshed.Account{}, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "client account key can't be checked now")
}

func (a *accounts) read(ctx context.Context, id turmericshed.AccountID) (cachedAccount, error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), accountReadTimeout)
	defer cancel()
	item, err := a.store.Get(ctx, turmericshed.AccountPrefix+string(id))
	if err != nil {
		return cachedAccount{}, err
	}
	c := cachedAccount{readAt: time.Now(), exists: item.Version != 0}
	if c.exists {
		if err := json.Unmarshal(item.Value, &c.doc); err != nil {
			return cachedAccount{}, turmericshed.WrapError(turmericshed.KindInternal, err, "account document")
		}
	}
	a.cache.Add(id, c)
	return c, nil
}
