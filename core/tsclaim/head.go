package tsclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"turmericshed"
)

// Limits on the size and age of the documents.
const (
	// maxUnsettledPerSlot bounds the open and in-doubt claims of one slot.
	maxUnsettledPerSlot = 1024
	// MaxKeyBytes bounds the length of an idempotency key.
	MaxKeyBytes = 256
	// maxInlineAnswerBytes is the largest answer body stored in a head. Longer
	// answers are stored under a separate key.
	maxInlineAnswerBytes = 2 << 10
	// sealHeadBytes is the total size of a head's settled entries from which they
	// are moved to the tail segment.
	sealHeadBytes = 32 << 10
	// sealEntryAge is the age of a settled entry above which the settled entries
	// are moved to the tail segment.
	sealEntryAge = 6 * time.Hour
	// rollSegmentBytes is the size from which the tail segment is closed.
	rollSegmentBytes = 512 << 10
	// rollSegmentAge is the age of the tail segment's oldest entry above which the
	// segment is closed.
	rollSegmentAge = 6 * time.Hour
	// maxBucketSegments bounds the number of segments in a bucket.
	maxBucketSegments = 192
	// maxBucketBytes is the size from which a bucket accepts no more segments.
	maxBucketBytes = 512 << 10
	// maxBucketSpan bounds the time span that a bucket covers.
	maxBucketSpan = 12 * time.Hour
)

// BucketRef is a reference to a bucket of closed segments.
type BucketRef struct {
	Seq int `json:"seq"`
	// Entries is the minimum number of entries in a copy of the bucket that is
	// complete. A copy with fewer entries is stale.
	Entries int       `json:"entries"`
	From    time.Time `json:"from"`
	Until   time.Time `json:"until"`
}

// Head is the document of one slot. It holds the unsettled and recently settled
// calls, and references to the older ones. A compare-and-swap on it decides every
// claim of the slot.
type Head struct {
	Slot    int          `json:"slot"`
	Entries map[ID]Entry `json:"entries"`
	// Tail is the sequence number of the segment to which settled entries are
	// moved.
	Tail int `json:"tail"`
	// TailEntries is the minimum number of entries in a copy of the tail that is
	// complete. A copy with fewer entries is stale.
	TailEntries int `json:"tail_entries"`
	// TailFrom and TailUntil are the times of the oldest and the newest entry in
	// the tail.
	TailFrom  time.Time   `json:"tail_from,omitzero"`
	TailUntil time.Time   `json:"tail_until,omitzero"`
	Buckets   []BucketRef `json:"buckets,omitempty"`
	// NextBucket is the sequence number of the next bucket.
	NextBucket int `json:"next_bucket"`
}

// HeadKey returns the key of a slot's head.
func HeadKey(slot int) string {
	return fmt.Sprintf("%sheads/%02d", turmericshed.ClaimPrefix, slot)
}

// AnswerKey returns the key under which a long answer is stored.
func AnswerKey(c turmericshed.ClaimID) string {
	return turmericshed.ClaimPrefix + "answers/" + string(c)
}

// LongAnswer reports whether an answer is too long to be stored in a head.
func LongAnswer(a turmericshed.Answer) bool { return len(a.Body) > maxInlineAnswerBytes }

// DecodeHead decodes a head. An empty value gives an empty head. Errors: KindInternal.
func DecodeHead(value []byte, slot int) (*Head, error) {
	h := &Head{Slot: slot}
	if len(value) > 0 {
		if err := json.Unmarshal(value, h); err != nil {
			return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "head of slot %d", slot)
		}
	}
	if h.Entries == nil {
		h.Entries = map[ID]Entry{}
	}
	return h, nil
}

// Encode encodes the head. Errors: KindInternal.
func (h *Head) Encode() ([]byte, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "head of slot %d", h.Slot)
	}
	turmericshed.Assert(len(value) <= turmericshed.MaxValueBytes, "claim_document_bounded", "head of slot %d has %d bytes", h.Slot, len(value))
	return value, nil
}

// Apply performs op. archived is the call's entry in a sealed document, or nil if
// there is none; it must have been looked up in copies that are complete according
// to the head's references.
func (h *Head) Apply(op Op, now time.Time, archived *Entry) Result {
	var prev *Entry
	if e, ok := h.Entries[op.ID]; ok {
		prev = &e
	} else if archived != nil {
		prev = archived
	}
	res := transition(prev, op, now)
	if !res.Changed {
		return res
	}
	if _, inHead := h.Entries[op.ID]; prev != nil && !inHead {
		res.Entry, res.Changed = *archived, false
		res.Err = turmericshed.NewError(turmericshed.KindConflict, "call %s is sealed as %s", op.ID, archived.State)
		return res
	}
	if op.Kind == OpClaim && h.unsettledCount() >= maxUnsettledPerSlot {
		return Result{Err: turmericshed.NewError(turmericshed.KindOverloaded, "too many unsettled calls in slot %d", h.Slot)}
	}
	assertAllowedTransition(op.ID, prev, res.Entry)
	h.Entries[op.ID] = res.Entry
	return res
}

func (h *Head) unsettledCount() int {
	n := 0
	for _, e := range h.Entries {
		if e.State == StateOpen || e.State == StateInDoubt {
			n++
		}
	}
	return n
}
