package tsclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"turmericshed"
)

// Segment holds settled entries. It only grows, until it is closed.
type Segment struct {
	Entries map[ID]Entry `json:"entries"`
}

// SegmentRef describes a closed segment.
type SegmentRef struct {
	Seq     int `json:"seq"`
	Entries int `json:"entries"`
	// Filter is a Bloom filter of the segment's calls.
	Filter Filter `json:"filter"`
	// Answers are the keys of long answers, deleted with the segment.
	Answers []string `json:"answers,omitempty"`
}

// Bucket lists closed segments of a span of time. It is deleted as a whole.
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

// Decode reads a segment or bucket; an empty value leaves it as it is.
func Decode(value []byte, to any) error {
	if len(value) == 0 {
		return nil
	}
	return turmericshed.WrapError(turmericshed.KindInternal, json.Unmarshal(value, to), "sealed claims")
}

// Encode writes a segment or bucket.
func Encode(doc any) ([]byte, error) {
	value, err := json.Marshal(doc)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "sealed claims")
	}
	turmericshed.Assert(len(value) <= turmericshed.MaxValueBytes, "claim_document_bounded", "a sealed document has %d bytes", len(value))
	return value, nil
}

// Entries returns the number of entries in the bucket's segments.
func (b Bucket) Entries() int {
	n := 0
	for _, s := range b.Segments {
		n += s.Entries
	}
	return n
}

// Close adds a segment to the bucket, or replaces its reference by one with
// more entries. It reports whether the bucket changed.
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

// Add joins sealed entries to the segment and reports whether it grew.
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

// Sealable returns the settled entries when it is time to move them to the
// tail segment, else nil. Calls settled as not run stay in the head, since
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

// Bytes estimates what the operation adds to a head, encoded.
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

// Kept returns the sealed entries that go to the tail; abandoned claims are
// dropped, since their calls may be taken again.
func Kept(sealed map[ID]Entry) map[ID]Entry {
	kept := make(map[ID]Entry, len(sealed))
	for id, e := range sealed {
		if e.State == StateDone {
			kept[id] = e
		}
	}
	return kept
}

// Seal removes entries that stand in the tail, which has had tailEntries
// entries since. An entry that changed in the meantime stays.
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

// TailDue reports whether the tail, of the given encoded size, is to be
// closed.
func (h *Head) TailDue(now time.Time, bytes int) bool {
	return h.TailEntries > 0 && (bytes >= rollSegmentBytes || now.Sub(h.TailFrom) > rollSegmentAge)
}

// NextSeal returns the number of the bucket that the tail is closed into;
// segments is how many the newest bucket has, bytes its encoded size.
func (h *Head) NextSeal(segments, bytes int) int {
	if n := len(h.Buckets); n > 0 {
		last := h.Buckets[n-1]
		if segments < maxBucketSegments && bytes < maxBucketBytes && h.TailUntil.Sub(last.From) <= maxBucketSpan {
			return last.Seq
		}
	}
	return h.NextBucket
}

// Roll closes the tail, which was copied to the bucket when it had
// tailEntries entries; bucketEntries is what the bucket then had.
func (h *Head) Roll(tail, tailEntries, bucket, bucketEntries int) bool {
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

// Expire drops the references of buckets whose entries are all older than
// the retention, and returns them for deletion. Calls that a person settled as
// not run are dropped at the same age.
func (h *Head) Expire(now time.Time, retention time.Duration) []BucketRef {
	var gone []BucketRef
	for id, e := range h.Entries {
		if e.State == StateNotRun && now.Sub(e.At) > retention {
			delete(h.Entries, id)
		}
	}
	for len(h.Buckets) > 0 && now.Sub(h.Buckets[0].Until) > retention {
		gone = append(gone, h.Buckets[0])
		h.Buckets = h.Buckets[1:]
	}
	return gone
}
