package tsprofiles

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsprofile"
	"turmericshed/io/tspeerapi"
)

const (
	// sweepInterval is the time between two sweeps that retry the documents
	// that are still outdated.
	sweepInterval = time.Second
	// maxFetchesPerSweep bounds the outdated documents fetched in one sweep.
	maxFetchesPerSweep = 8
)

// serveFetch fetches outdated documents when they are queued, and retries them
// in periodic sweeps while they are still outdated.
func (c *Cache) serveFetch(ctx context.Context) error {
	sweep := time.NewTicker(sweepInterval)
	defer sweep.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case name := <-c.fetchQueue:
			c.fetchIfOutdated(ctx, name)
		case <-sweep.C:
			c.mu.Lock()
			names := c.core.OutdatedNames()
			c.mu.Unlock()
			for _, name := range names[:min(len(names), maxFetchesPerSweep)] {
				c.fetchIfOutdated(ctx, name)
			}
		}
	}
}

// fetchIfOutdated fetches a document if it is still outdated.
func (c *Cache) fetchIfOutdated(ctx context.Context, name turmericshed.ProfileName) {
	c.mu.Lock()
	outdated := c.core.Outdated(name)
	c.mu.Unlock()
	if outdated {
		_ = c.fetch(ctx, name, false)
	}
}

// fetch reads a document into the cache. Concurrent calls for the same name
// share one fetch, which continues when a caller's context ends. Errors:
// KindStoreUnavailable.
func (c *Cache) fetch(ctx context.Context, name turmericshed.ProfileName, uncached bool) error {
	done := c.fetchGroup.DoChan(string(name), func() (any, error) {
		fetchCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), fetchTimeout)
		defer cancel()
		return nil, c.fetchOnce(fetchCtx, name, uncached)
	})
	select {
	case res := <-done:
		return res.Err
	case <-ctx.Done():
		return turmericshed.WrapError(turmericshed.KindStoreUnavailable, ctx.Err(), "profile %s", name)
	}
}

// fetchOnce reads an uncached profile from the store first, because peers may
// have cached old versions. When a newer version is known to exist, it queries
// peers first. In both cases it falls back to peers when the store fails.
func (c *Cache) fetchOnce(ctx context.Context, name turmericshed.ProfileName, uncached bool) error {
	c.mu.Lock()
	floor, hasNewer := c.core.Floor(name), c.core.HasNewerVersion(name)
	c.mu.Unlock()
	if !uncached && hasNewer && c.fetchFromPeers(ctx, name, floor, true) {
		return nil
	}
	err := c.fetchFromStore(ctx, name)
	if err == nil {
		return nil
	}
	if (uncached || hasNewer) && c.fetchFromPeers(ctx, name, floor, false) {
		return nil
	}
	return turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "profile %s", name)
}

// fetchFromStore reads a document from the store into the cache.
func (c *Cache) fetchFromStore(ctx context.Context, name turmericshed.ProfileName) error {
	c.mu.Lock()
	floor := c.core.Floor(name)
	c.mu.Unlock()
	readAt := time.Now()
	item, err := c.cfg.Store.Get(ctx, turmericshed.ProfilePrefix+string(name))
	if err != nil {
		return err
	}
	doc, err := decodeItem(item, readAt)
	if err != nil {
		return err
	}
	if doc.Deleted {
		doc.Name, doc.Version = name, floor
	}
	c.apply(doc, "store")
	return nil
}

// decodeItem decodes an item read from the store at readAt. Version 0 means that
// the profile does not exist.
func decodeItem(item turmericshed.Item, readAt time.Time) (tsprofile.Document, error) {
	d := tsprofile.Document{
		Name:    turmericshed.ProfileName(strings.TrimPrefix(item.Key, turmericshed.ProfilePrefix)),
		Version: item.Version, Value: item.Value, Deleted: item.Version == 0, ReadAt: readAt,
	}
	if d.Deleted {
		return d, nil
	}
	var err error
	d.Profile, err = tsprofile.Decode(item)
	return d, err
}

// fetchFromPeers queries peers and caches the highest version that is at least
// floor. With stopAtFirst it takes the first such version. Otherwise it queries
// all chosen peers, so that a document that is first read during a store outage
// is the newest among theirs. It reports whether a peer returned a document.
func (c *Cache) fetchFromPeers(ctx context.Context, name turmericshed.ProfileName, floor turmericshed.Version, stopAtFirst bool) bool {
	var best *tsprofile.Document
	for _, vm := range c.fetchSources(name, stopAtFirst) {
		d, err := c.fetchFromPeer(ctx, vm, name, floor)
		if err != nil || d == nil {
			continue
		}
		if best == nil || d.Version > best.Version {
			best = d
		}
		if stopAtFirst {
			break
		}
	}
	if best == nil {
		return false
	}
	c.apply(*best, "peer")
	return true
}

// fetchSources returns the peers to query for a document, in order: a fetch
// proxy of this failure domain if viaProxy is set, then relays, then other
// random peers. A fetch proxy itself queries no proxy.
func (c *Cache) fetchSources(name turmericshed.ProfileName, viaProxy bool) []turmericshed.EntryVM {
	relays := c.choosePeers(c.currentRelays(), c.reachable())
	proxies := tsprofile.FetchProxies(name, c.cfg.Self.FailureDomain, c.cfg.Self, c.reachable())
	if !viaProxy || len(proxies) == 0 || slices.Contains(proxies, c.cfg.Self) {
		return relays
	}
	return append([]turmericshed.EntryVM{proxies[rand.IntN(len(proxies))]}, relays...)
}

// isFetchProxy reports whether this process fetches the profile for the other
// entry VMs of its failure domain.
func (c *Cache) isFetchProxy(name turmericshed.ProfileName) bool {
	return slices.Contains(tsprofile.FetchProxies(name, c.cfg.Self.FailureDomain, c.cfg.Self, c.reachable()), c.cfg.Self)
}

// choosePeers returns up to maxPeersQueried distinct peers in random order, the
// preferred ones first.
func (c *Cache) choosePeers(preferred, others []turmericshed.EntryVM) []turmericshed.EntryVM {
	var vms []turmericshed.EntryVM
	add := func(vm turmericshed.EntryVM) {
		if vm.Name != c.cfg.Self.Name && len(vms) < maxPeersQueried && !slices.Contains(vms, vm) {
			vms = append(vms, vm)
		}
	}
	for _, i := range rand.Perm(len(preferred)) {
		add(preferred[i])
	}
	for range 4 * maxPeersQueried {
		if len(others) > 0 {
			add(others[rand.IntN(len(others))])
		}
	}
	return vms
}

// fetchFromPeer requests a document of at least version floor from one peer. It
// returns nil without an error if the peer has not cached such a version.
func (c *Cache) fetchFromPeer(ctx context.Context, vm turmericshed.EntryVM, name turmericshed.ProfileName, floor turmericshed.Version) (*tsprofile.Document, error) {
	callCtx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	sentAt := time.Now()
	res, err := c.peerClient(vm).Fetch(callCtx, connect.NewRequest(&tspeerapi.FetchProfileRequest{Name: string(name), MinVersion: uint64(floor)}))
	if err != nil || !res.Msg.GetFound() {
		return nil, err
	}
	item := turmericshed.Item{
		Key: turmericshed.ProfilePrefix + string(name), Value: res.Msg.GetValue(), Version: turmericshed.Version(res.Msg.GetVersion()),
	}
	d := tsprofile.Document{Name: name, Version: item.Version, Deleted: true}
	if !res.Msg.GetDeleted() {
		if d, err = decodeItem(item, sentAt); err != nil {
			return nil, err
		}
	}
	d.FromPeer = true
	d.ReadAt = sentAt.Add(-time.Duration(min(res.Msg.GetAgeMs(), maxAgeMs)) * time.Millisecond)
	return &d, nil
}

// maxAgeMs bounds the ages accepted from peers, in milliseconds.
const maxAgeMs = uint64(365 * 24 * time.Hour / time.Millisecond)

func (c *Cache) peerClient(vm turmericshed.EntryVM) tspeerapi.ProfileCacheClient {
	hc, base := c.cfg.Peers.Client(vm.PeerAddr)
	return tspeerapi.NewProfileCacheClient(hc, base, connect.WithReadMaxBytes(maxMessageBytes))
}
