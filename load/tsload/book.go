package tsload

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericshed"
)

// Result is the final state of a request as its caller sees it.
type Result string

// The results.
const (
	// ResultAnswered means that the caller received a complete answer.
	ResultAnswered Result = "answered"
	// ResultRefused means that every attempt was reported as not_run, or could
	// not connect.
	ResultRefused Result = "refused"
	// ResultFailed means that the request ran, completely or in part, and the
	// caller received this outcome instead of the answer.
	ResultFailed Result = "failed"
	// ResultUnknown means that an attempt may have run.
	ResultUnknown Result = "unknown"
)

// Record is one request in the callers' books.
type Record struct {
	N       int                      `json:"n"`
	Work    Work                     `json:"work"`
	Profile turmericshed.ProfileName `json:"profile"`
	Account turmericshed.AccountID   `json:"account"`
	Key     string                   `json:"key,omitempty"`
	// BodyDigest is the hex SHA-256 of a call's body.
	BodyDigest string `json:"body_digest,omitempty"`
	Result     Result `json:"result"`
	// Kind is the error kind of the last attempt, or "no_connection".
	Kind     string                   `json:"kind,omitempty"`
	Message  string                   `json:"message,omitempty"`
	Attempts int                      `json:"attempts"`
	Requests []turmericshed.RequestID `json:"requests,omitempty"`
	// Usage is the usage reported in the answer.
	Usage turmericshed.Usage `json:"usage,omitzero"`
	// Partial is set for an answer that ends as complete but is not, Foreign
	// for an answer with content of another request.
	Partial bool `json:"partial,omitempty"`
	Foreign bool `json:"foreign,omitempty"`
	// Job is the job id in a call's answer.
	Job        string        `json:"job,omitempty"`
	Started    time.Duration `json:"started_ns"`
	FirstToken time.Duration `json:"first_token_ns,omitempty"`
	Latency    time.Duration `json:"latency_ns"`
}

// Histogram bounds in microseconds, and the precision in significant digits.
const (
	minLatencyMicros = 1
	maxLatencyMicros = 10 * 60 * 1000 * 1000
	latencyDigits    = 3
)

// Book is the callers' books of one run. It is safe for concurrent use.
type Book struct {
	mu          sync.Mutex
	records     []Record
	unsent      int
	answers     *hdrhistogram.Histogram
	firstTokens *hdrhistogram.Histogram
	calls       *hdrhistogram.Histogram
}

// NewBook returns an empty Book.
func NewBook() *Book {
	h := func() *hdrhistogram.Histogram {
		return hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	}
	return &Book{answers: h(), firstTokens: h(), calls: h()}
}

func (b *Book) add(r Record) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.records = append(b.records, r)
	if r.Result != ResultAnswered {
		return
	}
	latencies := b.calls
	if r.Work == WorkGeneration {
		latencies = b.answers
		_ = b.firstTokens.RecordValue(max(r.FirstToken.Microseconds(), minLatencyMicros))
	}
	_ = latencies.RecordValue(max(r.Latency.Microseconds(), minLatencyMicros))
}

func (b *Book) countUnsent() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.unsent++
}

// Records returns a copy of the records so far, in the order in which the requests
// ended.
func (b *Book) Records() []Record {
	b.mu.Lock()
	defer b.mu.Unlock()
	return append([]Record(nil), b.records...)
}

// Percentiles holds latencies in milliseconds.
type Percentiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50"`
	P95   float64 `json:"p95"`
	P99   float64 `json:"p99"`
	Max   float64 `json:"max"`
}

func percentiles(h *hdrhistogram.Histogram) Percentiles {
	ms := func(q float64) float64 { return float64(h.ValueAtQuantile(q)) / 1000 }
	return Percentiles{Count: h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99), Max: float64(h.Max()) / 1000}
}

// Summary holds the totals of a Book.
type Summary struct {
	Requests int `json:"requests"`
	Answered int `json:"answered"`
	Refused  int `json:"refused"`
	Failed   int `json:"failed"`
	Unknown  int `json:"unknown"`
	// Unsent counts arrivals dropped because Options.MaxInFlight requests were
	// already in flight.
	Unsent  int `json:"unsent"`
	Retries int `json:"retries"`
	Partial int `json:"partial_answers"`
	Foreign int `json:"foreign_frames"`
	// Kinds counts the requests without an answer by the error kind of their
	// last attempt.
	Kinds map[string]int `json:"kinds"`
	// Tokens is the sum of the usage that answers reported.
	Tokens turmericshed.Tokens `json:"tokens"`
	// Latencies of complete generations, of their first tokens, and of calls
	// and look-ups, in milliseconds.
	Answers     Percentiles `json:"answers_ms"`
	FirstTokens Percentiles `json:"first_tokens_ms"`
	Calls       Percentiles `json:"calls_ms"`
}

// Summary returns the totals so far.
func (b *Book) Summary() Summary {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := Summary{
		Requests: len(b.records), Unsent: b.unsent, Kinds: map[string]int{},
		Answers: percentiles(b.answers), FirstTokens: percentiles(b.firstTokens), Calls: percentiles(b.calls),
	}
	for _, r := range b.records {
		switch r.Result {
		case ResultAnswered:
			s.Answered++
		case ResultRefused:
			s.Refused++
		case ResultFailed:
			s.Failed++
		case ResultUnknown:
			s.Unknown++
		}
		if r.Kind != "" {
			s.Kinds[r.Kind]++
		}
		if r.Partial {
			s.Partial++
		}
		if r.Foreign {
			s.Foreign++
		}
		s.Retries += r.Attempts - 1
		s.Tokens += r.Usage.Total()
	}
	return s
}
