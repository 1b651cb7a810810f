package tsentry

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/hex"
	"encoding/json"
	"strings"
	"sync/atomic"
	"time"

	lru "github.com/hashicorp/golang-lru/v2/expirable"
	"golang.org/x/sync/singleflight"

	"turmericshed"
)

// Account documents are listed at startup and then periodically. The interval grows with the number of
// entry VMs, so that the fleet's total read rate does not. A document missing from the list is read on
// first use.
const (
	accountListInterval = 15 * time.Second
	// accountListDelayPerVMPage is added to the interval for each listed page and reachable entry VM.
	accountListDelayPerVMPage = 100 * time.Millisecond
	accountListPageSize       = 500
	// maxListedAccounts bounds the listed documents in memory; it is checked between pages.
	maxListedAccounts     = 20000
	accountListRetryDelay = time.Second
	// accountCacheSize and accountCacheTTL bound the cache of individually read documents.
	accountCacheSize = 1024
	accountCacheTTL  = 60 * time.Second
	// accountReadTimeout bounds one read or one page listed from the store.
	accountReadTimeout = 2 * time.Second
	// KeyPrefix is the prefix of every client account key; the format is ts.<account>.<secret>.
	KeyPrefix = "ts."
)

// accountList is the most recent complete list of account documents.
type accountList map[turmericshed.AccountID]turmericshed.Account

// accounts authenticates client account keys against the account documents in the store. As a
// controller, it also refreshes the list of documents.
type accounts struct {
	store    turmericshed.Store
	members  turmericshed.Members
	listed   atomic.Pointer[accountList]
	cache    *lru.LRU[turmericshed.AccountID, turmericshed.Account]
	inFlight singleflight.Group
}

func newAccounts(store turmericshed.Store, members turmericshed.Members) *accounts {
	return &accounts{
		store: store, members: members,
		cache: lru.NewLRU[turmericshed.AccountID, turmericshed.Account](accountCacheSize, nil, accountCacheTTL),
	}
}

// Serve refreshes the account list periodically until ctx is done.
func (a *accounts) Serve(ctx context.Context) error {
	for {
		pages, err := a.list(ctx)
		wait := accountListInterval + accountListDelayPerVMPage*time.Duration(pages*len(a.members.Reachable()))
		if err != nil {
			wait = accountListRetryDelay
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// String returns the controller's name for the supervisor's logs.
func (a *accounts) String() string { return "accounts" }

// list reads the account documents, up to maxListedAccounts, and returns the number of pages read.
func (a *accounts) list(ctx context.Context) (pages int, err error) {
	list, after := accountList{}, ""
	for len(list) < maxListedAccounts {
		pageCtx, cancel := context.WithTimeout(ctx, accountReadTimeout)
		items, err := a.store.List(pageCtx, turmericshed.AccountPrefix, after, accountListPageSize)
		cancel()
		if err != nil {
			return pages, err
		}
		pages++
		for _, item := range items {
			var doc turmericshed.Account
			if json.Unmarshal(item.Value, &doc) == nil {
				list[doc.ID] = doc
			}
			after = item.Key
		}
		if len(items) < accountListPageSize {
			break
		}
	}
	a.listed.Store(&list)
	return pages, nil
}

// ready reports whether the account list has been read at least once.
func (a *accounts) ready() bool { return a.listed.Load() != nil }

// authenticate returns the account whose key is in an Authorization header. Errors: KindUnauthenticated,
// KindStoreUnavailable.
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

// HashKey returns the hex SHA-256 of a key. Only this hash is stored, never the key.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// errBadKey returns the same error for an unknown account and a wrong key, so that callers cannot probe
// which accounts exist.
func errBadKey() error {
	return turmericshed.NewError(turmericshed.KindUnauthenticated, "client account key is not valid")
}

// accountOfKey returns the account ID in a key, or false for a malformed key.
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

// get returns the account's document, or an empty one if it does not exist.
func (a *accounts) get(ctx context.Context, id turmericshed.AccountID) (turmericshed.Account, error) {
	if list := a.listed.Load(); list != nil {
		if doc, ok := (*list)[id]; ok {
			return doc, nil
		}
	}
	if doc, ok := a.cache.Get(id); ok {
		return doc, nil
	}
	v, err, _ := a.inFlight.Do(string(id), func() (any, error) { return a.read(ctx, id) })
	if err != nil {
		return turmericshed.Account{}, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "client account key can't be checked now")
	}
	return v.(turmericshed.Account), nil
}

// read reads one document from the store and caches it. It ignores the cancellation of ctx because
// concurrent callers share one read.
func (a *accounts) read(ctx context.Context, id turmericshed.AccountID) (doc turmericshed.Account, err error) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), accountReadTimeout)
	defer cancel()
	item, err := a.store.Get(ctx, turmericshed.AccountPrefix+string(id))
	if err != nil {
		return doc, err
	}
	if item.Version != 0 {
		if err := json.Unmarshal(item.Value, &doc); err != nil {
			return doc, turmericshed.WrapError(turmericshed.KindInternal, err, "account document")
		}
	}
	a.cache.Add(id, doc)
	return doc, nil
}
