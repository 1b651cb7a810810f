package tsversion

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"time"

	"turmericshed"
	"turmericshed/core/tsupdate"
	"turmericshed/core/tsversion"
	"turmericshed/io/tspause"
)

const (
	// storeTimeout is the timeout of one change in the store.
	storeTimeout = 1500 * time.Millisecond
	// storeRetryDelay is the least delay before a failed change is retried; the jitter adds up to as
	// much again.
	storeRetryDelay = 500 * time.Millisecond
	// maxRegisterDelay bounds the random delay before a version is registered while servers of other
	// versions take the new streams. It spreads the writes of entry VMs, so that later ones find the
	// version registered.
	maxRegisterDelay = 200 * time.Millisecond
	// maxRemoveDelay bounds the random time by which an entry VM removes an unused version later.
	maxRemoveDelay = 5 * time.Second
)

// registrar registers the versions of the listed servers in the store, and removes unused ones.
type registrar struct {
	v           *Versions
	removeDelay time.Duration
}

// String names the controller in the supervisor's log.
func (registrar) String() string { return "software versions" }

// Serve follows the list of servers until ctx ends.
func (r registrar) Serve(ctx context.Context) error {
	var restoredRetry <-chan time.Time
	for {
		servers, changed := r.v.cfg.Board.Servers.Watch()
		retryAfter := r.apply(ctx, servers)
		var retry <-chan time.Time
		if retryAfter > 0 {
			retry = time.After(retryAfter)
		}
		select {
		case <-changed:
		case <-retry:
		case <-r.v.restored:
			restoredRetry = r.v.registerAgain(ctx)
		case <-restoredRetry:
			restoredRetry = r.v.registerAgain(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// apply applies the list of servers, and changes the registered versions where needed. It returns after
// how long it has to be called again without a change of the list; 0 for never.
func (r registrar) apply(ctx context.Context, servers []turmericshed.BackendServer) time.Duration {
	v := r.v
	now, retention := time.Now(), v.cfg.Retention()
	v.mu.Lock()
	v.tracker.SetServers(now, servers, retention)
	missing := v.tracker.Unregistered()
	unused, next := v.tracker.Unused(now, retention+r.removeDelay)
	canWait := true
	for service := range missing {
		canWait = canWait && len(v.tracker.Usable(service)) > 0
	}
	v.mu.Unlock()
	switch {
	case len(missing) > 0:
		v.wake()
		if canWait {
			tspause.For(ctx, rand.N(maxRegisterDelay))
		}
	case len(unused) > 0:
	case next.IsZero():
		return 0
	default:
		return max(next.Sub(now), time.Millisecond)
	}
	if err := v.register(ctx, missing, unused); err != nil {
		v.cfg.Log.Warn("cannot change the registered software versions; retrying", "error", err.Error())
		return storeRetryDelay + rand.N(storeRetryDelay)
	}
	return time.Millisecond
}

// registerAgain registers all versions that were registered as far as known, since the store came back from an
// older copy. It returns when to try again after a failure; nil for never.
func (v *Versions) registerAgain(ctx context.Context) <-chan time.Time {
	v.mu.Lock()
	known := v.tracker.Registered()
	v.mu.Unlock()
	if len(known) == 0 {
		return nil
	}
	tspause.For(ctx, rand.N(maxRegisterDelay))
	if err := v.register(ctx, known, nil); err != nil {
		v.cfg.Log.Warn("cannot register the software versions again; retrying", "error", err.Error())
		return time.After(storeRetryDelay + rand.N(storeRetryDelay))
	}
	return nil
}

// register adds and removes versions in the store, in one change that keeps what others changed.
func (v *Versions) register(ctx context.Context, missing, unused tsversion.Versions) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	var registered tsversion.Versions
	u := tsupdate.New(storeKey, func(cur turmericshed.Item) ([]byte, error) {
		var err error
		if registered, err = decodeVersions(cur); err != nil {
			return nil, err
		}
		isAdded, isRemoved := registered.Add(missing), registered.Remove(unused)
		if !isAdded && !isRemoved {
			return nil, nil
		}
		return json.Marshal(registered)
	})
	if _, err := tsupdate.Run(ctx, v.cfg.Store, u); err != nil {
		return err
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.tracker.SetRegistered(time.Now(), registered)
	v.cfg.Log.Info("software versions registered", "versions", registered)
	return nil
}

// decodeVersions decodes the stored versions; an absent item has none.
func decodeVersions(i turmericshed.Item) (tsversion.Versions, error) {
	stored := tsversion.Versions{}
	if len(i.Value) == 0 {
		return stored, nil
	}
	if err := json.Unmarshal(i.Value, &stored); err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "the registered software versions are malformed")
	}
	v := tsversion.Versions{}
	v.Add(stored)
	return v, nil
}
