package tsclaim

import (
	"encoding/json"
	"fmt"
	"time"

	"turmericshed"
)

// Sizes and ages of the documents.
const (
	// maxUnsettledPerSlot bounds the open and doubtful claims of one slot.
	maxUnsettledPerSlot = 1024
	// MaxKeyBytes bounds an idempotency key.
	MaxKeyBytes = 256
	// maxInlineAnswerBytes is the largest answer body that a head holds; longer
	// ones are kept under a key of their own.
	maxInlineAnswerBytes = 2 << 10
	// sealHeadBytes is the size of a head's settled entries above which they
	// move to the tail segment.
	sealHeadBytes = 32 << 10
	// sealEntryAge is the age above which settled entries move to the tail.
	sealEntryAge = 6 * time.Hour
	// rollSegmentBytes is the size above which the tail is closed.
	rollSegmentBytes = 512 << 10
	// rollSegmentAge is the age of the first entry at which the tail is
	// closed.
	rollSegmentAge = 6 * time.Hour
	// maxBucketSegments bounds the segments of a bucket.
	maxBucketSegments = 192
	// maxBucketBytes is the size above which a bucket takes no more.
	maxBucketBytes = 512 << 10
	// maxBucketSpan bounds the time that a bucket covers.
	maxBucketSpan = 12 * time.Hour
)

// BucketRef names a bucket of closed segments.
type BucketRef struct {
	Seq int `json:"seq"`
	// Entries is the least number of entries that a copy of the bucket must
	// have to hold everything that was sealed.
	Entries int       `json:"entries"`
	From    time.Time `json:"from"`
	Until   time.Time `json:"until"`
}

// Head is the document of one slot: the unsettled and recently settled
// calls, and references to the older ones. Its compare-and-swap decides every
// claim of the slot.
type Head struct {
	Slot    int          `json:"slot"`
	Entries map[ID]Entry `json:"entries"`
	// Tail is the number of the segment that settled entries move to.
	Tail int `json:"tail"`
	// TailEntries is the least number of entries that a copy of the tail
	// must have to hold everything that was sealed.
	TailEntries int `json:"tail_entries"`
	// TailFrom and TailUntil span the entries in the tail.
	TailFrom  time.Time   `json:"tail_from,omitzero"`
	TailUntil time.Time   `json:"tail_until,omitzero"`
	Buckets   []BucketRef `json:"buckets,omitempty"`
	// NextBucket is the number of the next bucket.
	NextBucket int `json:"next_bucket"`
}

// HeadKey returns the key of a slot's head.
func HeadKey(slot int) string {
	return fmt.Sprintf("%sheads/%02d", turmericshed.ClaimPrefix, slot)
}

// AnswerKey returns the key of a long answer.
func AnswerKey(c turmericshed.ClaimID) string {
	return turmericshed.ClaimPrefix + "answers/" + string(c)
}

// LongAnswer reports whether an answer is kept under a key of its own.
func LongAnswer(a turmericshed.Answer) bool { return len(a.Body) > maxInlineAnswerBytes }

// DecodeHead reads a head; an empty value gives an empty head.
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

// Encode writes the head.
func (h *Head) Encode() ([]byte, error) {
	value, err := json.Marshal(h)
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "head of slot %d", h.Slot)
	}
	turmericshed.Assert(len(value) <= turmericshed.MaxValueBytes, "claim_document_bounded", "head of slot %d has %d bytes", h.Slot, len(value))
	return value, nil
}

// Apply performs op. archived is the call's entry in a sealed document, nil
// when there is none; it must have been looked up in copies that cover the
// head's references.
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
