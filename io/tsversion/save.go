package tsversion

import (
	"context"
	"encoding/json"
	"time"

	"turmericshed"
	"turmericshed/io/tspause"
)

const (
	// savedPrefix is the prefix of the keys of saved beginnings, one for each process of an entry VM.
	savedPrefix = "stream_beginnings/"
	// minSaveInterval is the least time between two writes of an entry VM, and vmSaveInterval the
	// least time for each entry VM, which bounds the writes of all of them to 200 a second. Beginnings
	// of that time are lost if all entry VMs are killed.
	minSaveInterval = 250 * time.Millisecond
	vmSaveInterval  = 5 * time.Millisecond
	// savedTTL is how long saved beginnings outlast the process at least; twice as long at most.
	savedTTL = time.Minute
	// loadTimeout bounds the reading of saved beginnings for a stream, and minLoadInterval is the
	// least time between two readings.
	loadTimeout     = 500 * time.Millisecond
	minLoadInterval = 500 * time.Millisecond
	// savedPageItems is the number of items in one answer of the store.
	savedPageItems = 500
)

// savedBeginnings are the ids of streams by service and software version.
type savedBeginnings map[string]map[turmericshed.SoftwareVersion][]turmericshed.RequestID

// saver saves the beginnings of streams in the store while their service is mixed.
type saver struct {
	v   *Versions
	key string
	// version is the version of the item, as last written.
	version turmericshed.Version
	// lease removes the item some time after the process has ended. It is replaced when it is
	// older than savedTTL.
	lease   turmericshed.LeaseID
	leaseAt time.Time
}

// String names the controller in the supervisor's log.
func (*saver) String() string { return "saved stream beginnings" }

// Serve saves beginnings until ctx ends.
func (s *saver) Serve(ctx context.Context) error {
	for {
		select {
		case <-s.v.saveWake:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := s.save(ctx); err != nil {
			s.v.cfg.Log.Info("cannot save the beginnings of streams", "error", err.Error())
		}
		vms := time.Duration(len(s.v.cfg.Members.Reachable()) + 1)
		tspause.For(ctx, max(minSaveInterval, vms*vmSaveInterval))
	}
}

// save writes the beginnings that others need. Only this process writes the item.
func (s *saver) save(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	s.v.mu.Lock()
	streams := s.v.streams.Needed(time.Now(), s.v.tracker.IsMixed)
	s.v.mu.Unlock()
	if len(streams) == 0 {
		return nil
	}
	saved := savedBeginnings{}
	for _, b := range streams {
		if saved[b.Service] == nil {
			saved[b.Service] = make(map[turmericshed.SoftwareVersion][]turmericshed.RequestID)
		}
		saved[b.Service][b.Software] = append(saved[b.Service][b.Software], b.Request)
	}
	value, err := json.Marshal(saved)
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindInternal, err, "encoding the beginnings of streams")
	}
	if now := time.Now(); s.lease == "" || now.Sub(s.leaseAt) > savedTTL {
		if s.lease, err = s.v.cfg.Store.Grant(ctx, 2*savedTTL); err != nil {
			return err
		}
		s.leaseAt = now
	}
	version, err := s.v.cfg.Store.CompareAndSwap(ctx, turmericshed.Write{Key: s.key, ExpectedVersion: s.version, Value: value, Lease: s.lease})
	if err == nil {
		s.version = version
		return nil
	}
	// A write without an answer may have been applied, and a lease may have lapsed or, with the item, been
	// forgotten by the store.
	s.lease = ""
	if item, ok := turmericshed.CurrentItem(err, s.key); ok {
		s.version = item.Version
	}
	if kind := turmericshed.KindOf(err); kind == turmericshed.KindConflict || kind == turmericshed.KindNotFound {
		s.v.wakeSaver()
	}
	return err
}

// load reads the saved beginnings of all entry VMs, unless they were read a moment ago.
func (v *Versions) load(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, turmericshed.LinkTimeout(v.cfg.Link, loadTimeout, 2*loadTimeout))
	defer cancel()
	loaded := v.loads.DoChan("load", func() (any, error) {
		v.mu.Lock()
		isRecent := time.Since(v.loadedAt) < minLoadInterval
		v.mu.Unlock()
		if isRecent {
			return nil, nil
		}
		return nil, v.readSaved(context.WithoutCancel(ctx))
	})
	select {
	case r := <-loaded:
		if r.Err != nil {
			v.cfg.Log.Info("cannot read the saved beginnings of streams", "error", r.Err.Error())
		}
	case <-ctx.Done():
	}
}

// readSaved reads the saved beginnings from the store.
func (v *Versions) readSaved(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	began := time.Now()
	streams := 0
	for after, isLast := "", false; !isLast; {
		items, err := v.cfg.Store.List(ctx, savedPrefix, after, savedPageItems)
		if err != nil {
			return err
		}
		for _, i := range items {
			streams += v.addSaved(i)
			after = i.Key
		}
		isLast = len(items) < savedPageItems
	}
	v.mu.Lock()
	v.loadedAt = time.Now()
	v.mu.Unlock()
	v.cfg.Log.Info("saved beginnings of streams read", "streams", streams, "elapsed_ms", time.Since(began).Milliseconds())
	return nil
}

// addSaved records the beginnings in an item and returns their number.
func (v *Versions) addSaved(i turmericshed.Item) (n int) {
	var saved savedBeginnings
	if err := json.Unmarshal(i.Value, &saved); err != nil {
		v.cfg.Log.Error("saved beginnings of streams are malformed", "key", i.Key, "error", err.Error())
		return 0
	}
	until := time.Now().Add(savedTTL)
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, versions := range saved {
		for software, ids := range versions {
			for _, id := range ids {
				v.streams.Put(turmericshed.StreamBeginning{Request: id, Service: service, Software: software, Until: until})
				n++
			}
		}
	}
	return n
}
