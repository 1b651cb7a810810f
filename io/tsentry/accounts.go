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

// Account documents are listed at start and again at an interval that grows
// with the fleet, so that the fleet's reads do not. One that is not in the
// list is read when it is first used.
const (
	accountListInterval = 15 * time.Second
	// accountListDelayPerVMPage is what each entry VM of the fleet adds to the
	// interval for each page listed.
	accountListDelayPerVMPage = 100 * time.Millisecond
	accountListPageSize       = 500
	// maxListedAccounts bounds the documents held.
	maxListedAccounts     = 20000
	accountListRetryDelay = time.Second
	// accountCacheSize and accountMaxAge bound the documents read one by one.
	accountCacheSize = 1024
	accountCacheTTL  = 60 * time.Second
	// accountReadTimeout bounds one read of the store.
	accountReadTimeout = 2 * time.Second
	// KeyPrefix starts every client account key, which has the form
	// ts.<account>.<secret>.
	KeyPrefix = "ts."
)

// accountList is the newest whole list of account documents.
type accountList map[turmericshed.AccountID]turmericshed.Account

// accounts checks client account keys against the documents in the store. It
// is also the controller that lists them.
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

// Serve lists the accounts until ctx ends.
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

// String returns the name that the supervisor logs.
func (a *accounts) String() string { return "accounts" }

// list reads every account document and returns the number of pages read.
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

// ready reports whether a list has been read.
func (a *accounts) ready() bool { return a.listed.Load() != nil }

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

// get returns the account's document; an absent one is empty.
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
