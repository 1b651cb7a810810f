package tsexperiment

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"time"

	"turmericshed"
	"turmericshed/core/tsclaim"
)

// openClaimCount is the number of claims held open to measure the memory of one.
const openClaimCount = 4000

// CallsSlopes are the per-unit costs of claims for docs/CAPACITY.md.
type CallsSlopes struct {
	Rates []CallsRate `json:"rates"`
	// BytesPerClaimStored is the encoded size of a settled claim with a short answer in the tail
	// segment.
	BytesPerClaimStored float64 `json:"bytes_per_claim_stored"`
	// BytesPerClaimInBucket is the encoded size of a claim in a bucket's filter.
	BytesPerClaimInBucket float64 `json:"bytes_per_claim_in_bucket"`
	// MemoryPerOpenClaim is the heap bytes per open claim, over all VMs.
	MemoryPerOpenClaim float64 `json:"memory_bytes_per_open_claim"`
}

// CallsRate is the cost at one rate of claims.
type CallsRate struct {
	ClaimsPerSecond int     `json:"claims_per_second"`
	WritesPerSecond float64 `json:"kv_writes_per_second"`
	ReadsPerSecond  float64 `json:"kv_reads_per_second"`
	BytesPerSecond  float64 `json:"kv_bytes_written_per_second"`
	// CPUMicros is the processor time of the whole process per claim, including stand-ins and load
	// generator.
	CPUMicros      float64 `json:"cpu_us_per_claim"`
	ClaimP50Micros int64   `json:"claim_p50_us"`
	ClaimP99Micros int64   `json:"claim_p99_us"`
}

func measureCallSlopes(ctx context.Context, o Options) (*CallsSlopes, error) {
	s := &CallsSlopes{}
	rates := []int{10, 100, 300, 1000, 2000}
	d := 5 * time.Second
	if o.Quick {
		rates, d = []int{10, 100}, time.Second
	}
	for _, rate := range rates {
		m, err := measureRate(ctx, o.Seed, rate, d)
		if err != nil {
			return nil, err
		}
		s.Rates = append(s.Rates, m)
	}
	if err := s.measureStoredBytes(); err != nil {
		return nil, err
	}
	return s, s.measureOpenMemory(ctx)
}

func measureRate(ctx context.Context, seed uint64, rate int, d time.Duration) (CallsRate, error) {
	f := newCallFleet(systemClaims, false)
	l := &callLoad{fleet: f, book: newCallBook(), callsPerSecond: rate}
	cpu := processorTime()
	began := time.Now()
	n := l.run(ctx, rand.New(rand.NewPCG(seed, 5)), d)
	elapsed := time.Since(began)
	cpu = processorTime() - cpu
	res, err := l.audit(ctx, n, elapsed)
	counts := f.store.Counts()
	return CallsRate{
		ClaimsPerSecond: rate, WritesPerSecond: res.KVWritesPerSecond, ReadsPerSecond: res.KVReadsPerSecond,
		BytesPerSecond: roundToThousandths(float64(counts.BytesWritten) / elapsed.Seconds()),
		CPUMicros:      roundToThousandths(float64(cpu.Microseconds()) / float64(n)),
		ClaimP50Micros: res.ClaimP50Micros, ClaimP99Micros: res.ClaimP99Micros,
	}, err
}

// measureStoredBytes measures the encoded size of claims in a full segment and in a bucket.
func (s *CallsSlopes) measureStoredBytes() error {
	const n = 2000
	var seg tsclaim.Segment
	entries := map[tsclaim.ID]tsclaim.Entry{}
	for i := range n {
		a := turmericshed.Answer{Status: 201, ContentType: "application/json", Body: fmt.Appendf(nil, `{"job":"ts-%032d","state":"booked"}`, i)}
		entries[tsclaim.NewID(callAccount, fmt.Sprint(i))] = tsclaim.Entry{
			Claim: turmericshed.ClaimID(turmericshed.NewID("claim-")), State: tsclaim.StateDone,
			Digest: "0123456789abcdef0123456789abcdef", Account: callAccount, Profile: "bookings", Service: "bookings",
			At: time.Now(), Answer: &a,
		}
	}
	seg.Add(entries)
	value, err := tsclaim.Encode(seg)
	if err != nil {
		return err
	}
	var b tsclaim.Bucket
	b.Close(0, seg)
	bucket, err := tsclaim.Encode(b)
	if err != nil {
		return err
	}
	s.BytesPerClaimStored = roundToThousandths(float64(len(value)) / n)
	s.BytesPerClaimInBucket = roundToThousandths(float64(len(bucket)) / n)
	return nil
}

// measureOpenMemory holds claims open and measures the heap they use.
func (s *CallsSlopes) measureOpenMemory(ctx context.Context) error {
	f := newCallFleet(systemClaims, false)
	before := heapBytes()
	errs := make(chan error, openClaimCount)
	for i := range openClaimCount {
		v := f.all()[i%len(f.all())]
		go func() {
			_, err := v.claims.Claim(ctx, turmericshed.Call{Account: callAccount, Profile: "bookings", Service: "bookings", Key: fmt.Sprint("open-", i), Digest: "d"})
			errs <- err
		}()
	}
	for range openClaimCount {
		if err := <-errs; err != nil {
			return err
		}
	}
	s.MemoryPerOpenClaim = roundToThousandths(float64(heapBytes()-before) / openClaimCount)
	runtime.KeepAlive(f)
	return nil
}

func heapBytes() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}
