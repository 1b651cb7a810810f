package tscalls

import (
	"context"
	"errors"

	lru "github.com/hashicorp/golang-lru/v2"

	"turmericshed"
	"turmericshed/core/tsclaim"
	"turmericshed/core/tsupdate"
)

// cachedSegments is the number of closed segments that are cached decoded for each slot.
const cachedSegments = 4

// archive caches the sealed claims of one slot as this process last read them.
// It must not be used by two goroutines at the same time.
type archive struct {
	store turmericshed.Store
	slot  int

	// tailSeq is the sequence number of the cached tail segment; -1 when none is cached.
	tailSeq   int
	tailItem  turmericshed.Item
	tail      tsclaim.Segment
	tailBytes int
	buckets   map[int]*cachedBucket
	segments  *lru.Cache[int, tsclaim.Segment]
}

// cachedBucket is a decoded bucket with the item it was read from.
type cachedBucket struct {
	item   turmericshed.Item
	bucket tsclaim.Bucket
}

func newArchive(store turmericshed.Store, slot int) *archive {
	segments, err := lru.New[int, tsclaim.Segment](cachedSegments)
	turmericshed.Assert(err == nil, "cache_size_valid", "%v", err)
	return &archive{store: store, slot: slot, tailSeq: -1, buckets: map[int]*cachedBucket{}, segments: segments}
}

// refresh reads the documents that the cache lacks, so that it covers every sealed
// claim that the given head refers to.
func (a *archive) refresh(ctx context.Context, h *tsclaim.Head) error {
	if a.tailSeq != h.Tail || len(a.tail.Entries) < h.TailEntries {
		if err := a.readTail(ctx, h.Tail, h.TailEntries); err != nil {
			return err
		}
	}
	referenced := map[int]bool{}
	for _, ref := range h.Buckets {
		referenced[ref.Seq] = true
		b, ok := a.buckets[ref.Seq]
		if ok && b.bucket.Entries() >= ref.Entries {
			continue
		}
		if err := a.readBucket(ctx, ref.Seq, ref.Entries); err != nil {
			return err
		}
	}
	for seq := range a.buckets {
		if !referenced[seq] && seq < h.NextBucket {
			delete(a.buckets, seq)
		}
	}
	return nil
}

// readTail caches the tail segment, which must have at least minEntries entries.
// It returns errHeadChanged when it has fewer.
func (a *archive) readTail(ctx context.Context, seq, minEntries int) error {
	a.tailSeq = -1
	a.tail, a.tailBytes = tsclaim.Segment{}, 0
	a.tailItem = turmericshed.Item{Key: tsclaim.SegmentKey(a.slot, seq)}
	if minEntries > 0 {
		item, err := a.store.Get(ctx, a.tailItem.Key)
		if err != nil {
			return err
		}
		if err := a.setTail(item); err != nil {
			return err
		}
		if len(a.tail.Entries) < minEntries {
			// The segment was closed and deleted after the head was read.
			return errHeadChanged
		}
	}
	a.tailSeq = seq
	return nil
}

// setTail caches item as the tail segment.
func (a *archive) setTail(item turmericshed.Item) error {
	var s tsclaim.Segment
	if err := tsclaim.Decode(item.Value, &s); err != nil {
		return err
	}
	a.tailItem, a.tail, a.tailBytes = item, s, len(item.Value)
	return nil
}

// readBucket caches a bucket, which must have at least minEntries entries. It
// returns errHeadChanged when it has fewer.
func (a *archive) readBucket(ctx context.Context, seq, minEntries int) error {
	item, err := a.store.Get(ctx, tsclaim.BucketKey(a.slot, seq))
	if err != nil {
		return err
	}
	b := &cachedBucket{item: item}
	if err := tsclaim.Decode(item.Value, &b.bucket); err != nil {
		return err
	}
	if b.bucket.Entries() < minEntries {
		return errHeadChanged
	}
	a.buckets[seq] = b
	return nil
}

// find returns the sealed entry of a call. The cache must have been refreshed to
// the given head.
func (a *archive) find(ctx context.Context, h *tsclaim.Head, id tsclaim.ID) (tsclaim.Entry, bool, error) {
	if e, ok := a.tail.Entries[id]; ok {
		return e, true, nil
	}
	for _, ref := range h.Buckets {
		for _, s := range a.buckets[ref.Seq].bucket.Segments {
			if !s.Filter.MayHave(id) {
				continue
			}
			seg, err := a.readSegment(ctx, s)
			if err != nil {
				return tsclaim.Entry{}, false, err
			}
			if e, ok := seg.Entries[id]; ok {
				return e, true, nil
			}
		}
	}
	return tsclaim.Entry{}, false, nil
}

// readSegment returns a closed segment from the cache or the store.
func (a *archive) readSegment(ctx context.Context, ref tsclaim.SegmentRef) (tsclaim.Segment, error) {
	if s, ok := a.segments.Get(ref.Seq); ok && len(s.Entries) >= ref.Entries {
		return s, nil
	}
	item, err := a.store.Get(ctx, tsclaim.SegmentKey(a.slot, ref.Seq))
	if err != nil {
		return tsclaim.Segment{}, err
	}
	var s tsclaim.Segment
	if err := tsclaim.Decode(item.Value, &s); err != nil {
		return s, err
	}
	if len(s.Entries) < ref.Entries {
		return s, errHeadChanged
	}
	a.segments.Add(ref.Seq, s)
	return s, nil
}

// seal adds entries to the tail segment and returns the segment's new number of
// entries. The head may drop the entries only after this write.
func (a *archive) seal(ctx context.Context, h *tsclaim.Head, entries map[tsclaim.ID]tsclaim.Entry) (int, error) {
	if len(entries) == 0 {
		return len(a.tail.Entries), nil
	}
	u := tsupdate.NewFrom(a.tailItem, func(cur turmericshed.Item) ([]byte, error) {
		var s tsclaim.Segment
		if err := tsclaim.Decode(cur.Value, &s); err != nil {
			return nil, err
		}
		if !s.Add(entries) {
			return nil, nil
		}
		return tsclaim.Encode(s)
	})
	item, err := tsupdate.Run(ctx, a.store, u)
	if err != nil {
		a.tailSeq = -1
		return 0, err
	}
	if err := a.setTail(item); err != nil {
		return 0, err
	}
	a.tailSeq = h.Tail
	return len(a.tail.Entries), nil
}

// closeTail adds a reference to the tail segment to its bucket. It returns the
// bucket's sequence number and its number of entries. The head may refer to the
// next tail only after this write.
func (a *archive) closeTail(ctx context.Context, h *tsclaim.Head) (bucket, entries int, err error) {
	segments, bytes := 0, 0
	if n := len(h.Buckets); n > 0 {
		last := a.buckets[h.Buckets[n-1].Seq]
		segments, bytes = len(last.bucket.Segments), len(last.item.Value)
	}
	bucket = h.NextBucketSeq(segments, bytes)
	from := turmericshed.Item{Key: tsclaim.BucketKey(a.slot, bucket)}
	if b, ok := a.buckets[bucket]; ok {
		from = b.item
	}
	u := tsupdate.NewFrom(from, func(cur turmericshed.Item) ([]byte, error) {
		var b tsclaim.Bucket
		if err := tsclaim.Decode(cur.Value, &b); err != nil {
			return nil, err
		}
		if !b.Close(h.Tail, a.tail) {
			return nil, nil
		}
		return tsclaim.Encode(b)
	})
	item, err := tsupdate.Run(ctx, a.store, u)
	if err != nil {
		delete(a.buckets, bucket)
		return 0, 0, err
	}
	b := &cachedBucket{item: item}
	if err := tsclaim.Decode(item.Value, &b.bucket); err != nil {
		return 0, 0, err
	}
	a.buckets[bucket] = b
	return bucket, b.bucket.Entries(), nil
}

// deleteBuckets deletes expired buckets with their segments and answers. Keys
// whose deletion fails stay in the store; nothing refers to them any more.
func (a *archive) deleteBuckets(ctx context.Context, refs []tsclaim.BucketRef) {
	for _, ref := range refs {
		if b, ok := a.buckets[ref.Seq]; ok {
			for _, s := range b.bucket.Segments {
				for _, key := range s.Answers {
					a.delete(ctx, key)
				}
				a.delete(ctx, tsclaim.SegmentKey(a.slot, s.Seq))
			}
		}
		a.delete(ctx, tsclaim.BucketKey(a.slot, ref.Seq))
		delete(a.buckets, ref.Seq)
	}
}

// delete removes a key; it retries once when the write fails.
func (a *archive) delete(ctx context.Context, key string) {
	for range 2 {
		item, err := a.store.Get(ctx, key)
		if err != nil || item.Version == 0 {
			return
		}
		_, err = a.store.CompareAndSwap(ctx, turmericshed.Write{Key: key, ExpectedVersion: item.Version, Delete: true})
		if err == nil || errors.Is(err, context.Canceled) {
			return
		}
	}
}
