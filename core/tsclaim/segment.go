package tsclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"turmericshed"
)

// Segment holds settled entries. Entries are only added, until the segment is closed.
type Segment struct {
	Entries map[ID]Entry `json:"entries"`
}

// SegmentRef is a reference to a closed segment.
type SegmentRef struct {
	Seq     int `json:"seq"`
	Entries int `json:"entries"`
	// Filter is a Bloom filter of the segment's calls.
	Filter Filter `json:"filter"`
	// Answers lists the keys of long answers, which are deleted with the segment.
	Answers []string `json:"answers,omitempty"`
}

// Bucket lists the closed segments of a time span. It is deleted as a whole.
type Bucket struct {
	Segments []SegmentRef `json:"segments"`
}

// SegmentKey returns the key of a segment.
func SegmentKey(slot, seq int) string {
	return fmt.Sprintf("%ssegments/%02d/%09d", turmericshed.ClaimPrefix, slot, seq)
}

// BucketKey returns the key of a bucket.
func BucketKey(slot, seq int) string {
	return fmt.Sprintf("%sbuckets/%02d/%09d", turmericshed.ClaimPrefix, slot, seq)
}

// Decode decodes a segment or bucket into to. An empty value leaves to unchanged.
// Errors: KindInternal.
func Decode(value []byte, to any) error {
	if len(value) == 0 {
		return nil
	}
	return turmericshed.WrapError(turmericshed.KindInternal, json.Unmarshal(value, to), "sealed claims")
}

// Encode encodes a segment or bucket. Errors: KindInternal.
func Encode(doc any) ([]byte, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "sealed claims")
	}
	turmericshed.Assert(len(value) <= turmericshed.MaxValueBytes, "claim_document_bounded", "a sealed document has %d bytes", len(value))
	return value, nil
}

// Entries returns the total number of entries in the bucket's segments.
func (b Bucket) Entries() int {
	n := 0
	for _, s := range b.Segments {
		n += s.Entries
	}
	return n
}

// Close adds a reference to segment s, or replaces the existing one if it has fewer
// entries. It reports whether the bucket changed.
func (b *Bucket) Close(seq int, s Segment) bool {
	ref := SegmentRef{Seq: seq, Entries: len(s.Entries), Filter: NewFilter(len(s.Entries))}
	for id, e := range s.Entries {
		ref.Filter.Add(id)
		if e.AnswerKey != "" {
			ref.Answers = append(ref.Answers, e.AnswerKey)
		}
	}
	for i, old := range b.Segments {
		if old.Seq == seq {
			if old.Entries >= ref.Entries {
				return false
			}
			b.Segments[i] = ref
			return true
		}
	}
	b.Segments = append(b.Segments, ref)
	return true
}

// Add adds sealed entries to the segment and reports whether any of them was new.
func (s *Segment) Add(entries map[ID]Entry) bool {
	if s.Entries == nil {
		s.Entries = map[ID]Entry{}
	}
	grew := false
	for id, e := range entries {
		if _, ok := s.Entries[id]; !ok {
			s.Entries[id] = e
			grew = true
		}
	}
	return grew
}

// Sealable returns the settled entries if they are due to be moved to the tail
// segment, and nil otherwise. Calls settled as not run remain in the head, since
// they may still be corrected.
func (h *Head) Sealable(now time.Time) map[ID]Entry {
	sealed := map[ID]Entry{}
	bytes, due := 0, false
	for id, e := range h.Entries {
		if e.State != StateDone && e.State != StateAbandoned {
			continue
		}
		bytes += estimateEntryBytes(e)
		due = due || now.Sub(e.At) > sealEntryAge
		e.Key, e.Request, e.Runner = "", "", ""
		sealed[id] = e
	}
	if bytes < sealHeadBytes && !due {
		return nil
	}
	return sealed
}

// Bytes estimates by how much the operation increases the encoded size of a head.
func (op Op) Bytes() int { return estimateEntryBytes(op.Entry) }

// estimateEntryBytes estimates the encoded size of an entry.
func estimateEntryBytes(e Entry) int {
	const fixed = 200
	n := fixed + len(e.Account) + len(e.Profile) + len(e.Service) + len(e.Key) + len(e.Request) + len(e.Runner)
	if e.Answer != nil {
		n += len(e.Answer.Body)*4/3 + len(e.Answer.ContentType)
	}
	return n
}

// SelectForTail returns those of the sealed entries that are stored in the tail. Abandoned
// claims are dropped, since their calls may be claimed again.
func SelectForTail(sealed map[ID]Entry) map[ID]Entry {
	kept := make(map[ID]Entry, len(sealed))
	for id, e := range sealed {
		if e.State == StateDone {
			kept[id] = e
		}
	}
	return kept
}

// Seal removes entries that have been stored in segment tail, which now holds
// tailEntries entries. An entry that changed in the meantime remains. Seal reports
// whether the head changed.
func (h *Head) Seal(tail int, sealed map[ID]Entry, tailEntries int) bool {
	if h.Tail != tail {
		return false
	}
	changed := false
	for id, s := range sealed {
		e, ok := h.Entries[id]
		if !ok || e.Claim != s.Claim || e.State != s.State {
			continue
		}
		delete(h.Entries, id)
		changed = true
		if s.State == StateDone {
			h.TailFrom, h.TailUntil = extendSpan(h.TailFrom, h.TailUntil, s.At)
		}
	}
	if changed {
		h.TailEntries = max(h.TailEntries, tailEntries)
	}
	return changed
}

func extendSpan(from, until, at time.Time) (time.Time, time.Time) {
	if from.IsZero() || at.Before(from) {
		from = at
	}
	if at.After(until) {
		until = at
	}
	return from, until
}

// TailDue reports whether the tail, whose encoded size is bytes, is due to be closed.
func (h *Head) TailDue(now time.Time, bytes int) bool {
	return h.TailEntries > 0 && (bytes >= rollSegmentBytes || now.Sub(h.TailFrom) > rollSegmentAge)
}

// NextBucketSeq returns the sequence number of the bucket into which the tail is closed.
// segments is the number of segments in the newest bucket, and bytes its encoded
// size.
func (h *Head) NextBucketSeq(segments, bytes int) int {
	if n := len(h.Buckets); n > 0 {
		last := h.Buckets[n-1]
		if segments < maxBucketSegments && bytes < maxBucketBytes && h.TailUntil.Sub(last.From) <= maxBucketSpan {
			return last.Seq
		}
	}
	return h.NextBucket
}

// CloseTail closes the tail, which was copied to the bucket when it had tailEntries
// entries; bucketEntries is the number of entries in the bucket after that. It
// reports whether the head changed: a tail that has grown since it was copied is
// not closed.
func (h *Head) CloseTail(tail, tailEntries, bucket, bucketEntries int) bool {
	if h.Tail != tail || h.TailEntries > tailEntries {
		return false
	}
	n := len(h.Buckets)
	if n == 0 || h.Buckets[n-1].Seq != bucket {
		h.Buckets = append(h.Buckets, BucketRef{Seq: bucket, From: h.TailFrom})
		h.NextBucket = bucket + 1
		n++
	}
	ref := &h.Buckets[n-1]
	ref.Entries = max(ref.Entries, bucketEntries)
	ref.From, ref.Until = extendSpan(ref.From, ref.Until, h.TailFrom)
	ref.From, ref.Until = extendSpan(ref.From, ref.Until, h.TailUntil)
	h.Tail++
	h.TailEntries, h.TailFrom, h.TailUntil = 0, time.Time{}, time.Time{}
	return true
}

// Expire drops the references to buckets whose entries are all older than the
// retention, and returns them for deletion. Calls that an operator settled as not
// run are dropped at the same age.
func (h *Head) Expire(now time.Time, retention time.Duration) []BucketRef {
	var expired []BucketRef
	for id, e := range h.Entries {
		if e.State == StateNotRun && now.Sub(e.At) > retention {
			delete(h.Entries, id)
		}
	}
	for len(h.Buckets) > 0 && now.Sub(h.Buckets[0].Until) > retention {
		expired = append(expired, h.Buckets[0])
		h.Buckets = h.Buckets[1:]
	}
	return expired
}
