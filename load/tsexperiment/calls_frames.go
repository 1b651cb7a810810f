package tsexperiment

import (
	"fmt"
	"io"
	"math/rand/v2"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/core/tsdedupe"
	"turmericshed/core/tsframe"
)

const (
	frameStreams      = 20_000
	frameStreamsQuick = 2_000
	framesPerStream   = 24
	// frameFaultRate is the probability of a fault at each frame.
	frameFaultRate = 0.02
	// maxStreamResumes is the maximum number of resumes of one stream.
	maxStreamResumes = 3
)

// FramesResult is the result of token streams with crossed, late, duplicate and missing frames.
type FramesResult struct {
	System   string `json:"system"`
	Streams  int    `json:"streams"`
	Complete int    `json:"whole"`
	Errors   int    `json:"errors"`
	Resumed  int    `json:"resumed"`
	Retries  int    `json:"retries"`
	// FailedRuns is the number of runs that ended with an error and were billed. A retry after one
	// is a separate run with a separate bill.
	FailedRuns     int `json:"failed_runs"`
	PartialAnswers int `json:"partial_answers"`
	ForeignFrames  int `json:"foreign_frames"`
	BilledTwice    int `json:"billed_twice"`
	Unbilled       int `json:"unbilled"`
}

func (r *CallsReport) addFrames(results []FramesResult) {
	r.Frames = results
	checked := results[0]
	r.PartialAnswers += checked.PartialAnswers
	r.ForeignFrames += checked.ForeignFrames
	r.BilledTwice += checked.BilledTwice
	r.Unbilled += checked.Unbilled
}

// frameSource simulates a connection to an engine that delivers faulty frames.
type frameSource struct {
	rng         *rand.Rand
	stream      turmericshed.StreamID
	otherStream turmericshed.StreamID
	nextSeq     int
	queue       []turmericshed.Frame
}

func frameText(id turmericshed.StreamID, seq int) string { return fmt.Sprintf("%s.%d ", id, seq) }

func newFrame(id turmericshed.StreamID, seq int) turmericshed.Frame {
	f := turmericshed.Frame{Stream: id, Seq: seq, Text: frameText(id, seq), Tokens: 1}
	if seq == framesPerStream-1 {
		f.End, f.Finish = true, "stop"
		f.Usage = turmericshed.Usage{Prompt: 10, Completion: framesPerStream}
	}
	return f
}

// Next returns the next frame that arrives, or an error if the connection breaks.
func (s *frameSource) Next() (turmericshed.Frame, error) {
	if len(s.queue) > 0 {
		f := s.queue[0]
		s.queue = s.queue[1:]
		return f, nil
	}
	if s.nextSeq >= framesPerStream {
		return turmericshed.Frame{}, io.EOF
	}
	f := newFrame(s.stream, s.nextSeq)
	s.nextSeq++
	if s.rng.Float64() >= frameFaultRate {
		return f, nil
	}
	switch s.rng.IntN(6) {
	case 0: // crossed
		s.queue = append(s.queue, f)
		return newFrame(s.otherStream, s.rng.IntN(framesPerStream)), nil
	case 1: // doubled
		s.queue = append(s.queue, f)
		return f, nil
	case 2: // late
		s.queue = append(s.queue, f)
		return newFrame(s.stream, s.rng.IntN(f.Seq+1)), nil
	case 3: // missing
		return s.Next()
	case 4: // an end mark without the end
		f.End, f.Usage = true, turmericshed.Usage{Prompt: 10, Completion: framesPerStream}
		return f, nil
	default:
		s.nextSeq = framesPerStream
		return turmericshed.Frame{}, turmericshed.NewError(turmericshed.KindStreamBroken, "connection reset")
	}
}

// runFrames measures the product and a relay that forwards frames unchecked and bills each attempt.
func runFrames(o Options) []FramesResult {
	n := frameStreams
	if o.Quick {
		n = frameStreamsQuick
	}
	return []FramesResult{checkedFrames(o.Seed, n), uncheckedFrames(o.Seed, n)}
}

// checkedFrames relays streams through tsframe and tsdedupe.
func checkedFrames(seed uint64, n int) FramesResult {
	res := FramesResult{System: "checked", Streams: n}
	r := rand.New(rand.NewPCG(seed, 3))
	table := tsdedupe.NewTable[struct{}]()
	now := time.Unix(1_700_000_000, 0)
	for i := range n {
		now = now.Add(time.Second)
		key := fmt.Sprint("req-", i)
		completeBills, allBills := 0, 0
		for attempt := range 1 + r.IntN(3) {
			if attempt > 0 {
				res.Retries++
			}
			s, joined, err := table.Join(now, callAccount, key, "d")
			if err != nil {
				continue
			}
			if !joined {
				res.Resumed += feedStream(r, now, s, i)
			}
			if s.Ended() && s.Bill() {
				allBills++
				if s.Err() == nil {
					completeBills++
				} else {
					res.FailedRuns++
				}
			}
			s.AssertBilled()
			res.countStream(readStream(s), turmericshed.StreamID(fmt.Sprint("s-", i)), attempt == 0)
		}
		res.countBills(completeBills, allBills)
	}
	return res
}

// feedStream runs one generation into s and resumes it up to maxStreamResumes times. It returns the
// number of resumes.
func feedStream(r *rand.Rand, now time.Time, s *tsdedupe.Stream[struct{}], i int) int {
	id := turmericshed.StreamID(fmt.Sprint("s-", i))
	c := tsframe.New(id, framesPerStream)
	resumes := 0
	for {
		src := &frameSource{rng: r, stream: id, otherStream: turmericshed.StreamID(fmt.Sprint("s-", i+1)), nextSeq: c.Next()}
		err := relayFrames(now, src, c, s)
		if err == nil {
			c.AssertComplete()
			return resumes
		}
		if resumes == maxStreamResumes {
			s.Fail(now, err)
			return resumes
		}
		resumes++
		c.Resumed()
	}
}

func relayFrames(now time.Time, src *frameSource, c *tsframe.Checker, s *tsdedupe.Stream[struct{}]) error {
	for {
		f, err := src.Next()
		if err != nil {
			return c.Closed(err)
		}
		v, err := c.Check(f)
		if err != nil {
			return err
		}
		if v == tsframe.Relay {
			s.Append(now, f)
		}
	}
}

// streamResult is what a caller received.
type streamResult struct {
	text       string
	isComplete bool
}

func readStream(s *tsdedupe.Stream[struct{}]) streamResult {
	var b strings.Builder
	for pos := 0; ; pos++ {
		f, state := s.Read(pos)
		if state != tsdedupe.ReadFrame {
			return streamResult{text: b.String(), isComplete: state == tsdedupe.ReadEnd}
		}
		b.WriteString(f.Text)
	}
}

// countStream compares what a caller received with the expected stream. Complete and failed streams
// are counted for the first attempt only.
func (res *FramesResult) countStream(read streamResult, id turmericshed.StreamID, isFirstAttempt bool) {
	var want strings.Builder
	for seq := range framesPerStream {
		want.WriteString(frameText(id, seq))
	}
	for _, word := range strings.Fields(read.text) {
		if !strings.HasPrefix(word, string(id)+".") {
			res.ForeignFrames++
		}
	}
	switch {
	case read.isComplete && read.text != want.String():
		res.PartialAnswers++
	case read.isComplete && isFirstAttempt:
		res.Complete++
	case isFirstAttempt:
		res.Errors++
	}
}

// countBills counts a request with more than one bill for a complete answer, or without any bill.
func (res *FramesResult) countBills(completeBills, allBills int) {
	if completeBills > 1 {
		res.BilledTwice++
	}
	if allBills == 0 {
		res.Unbilled++
	}
}

// uncheckedFrames is the baseline that forwards frames as they arrive and bills each attempt.
func uncheckedFrames(seed uint64, n int) FramesResult {
	res := FramesResult{System: "unchecked", Streams: n}
	r := rand.New(rand.NewPCG(seed, 3))
	for i := range n {
		id := turmericshed.StreamID(fmt.Sprint("s-", i))
		completeBills, allBills := 0, 0
		for attempt := range 1 + r.IntN(3) {
			if attempt > 0 {
				res.Retries++
			}
			src := &frameSource{rng: r, stream: id, otherStream: turmericshed.StreamID(fmt.Sprint("s-", i+1))}
			var read streamResult
			for {
				f, err := src.Next()
				if err != nil {
					break
				}
				read.text += f.Text
				if f.End {
					read.isComplete = true
					completeBills++
					allBills++
					break
				}
			}
			res.countStream(read, id, attempt == 0)
		}
		res.countBills(completeBills, allBills)
	}
	return res
}
