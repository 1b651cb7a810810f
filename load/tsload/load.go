// Package tsload sends open-loop load to entry VMs and records the callers'
// books: the result of every request, and whether each answer was complete and
// belonged to its request.
//
// Arrivals are a Poisson process, accounts follow Zipf's law, and the same
// seed plans the same requests. A request is retried with the same idempotency
// key at any entry VM, as the platform's balancer would route it. Answers are
// compared with those expected of the stand-in engine and services.
//
// # Usage
//
//	l, err := tsload.New(tsload.Options{Entries: addrs, Profiles: profiles, Rate: 50, Duration: time.Minute, Seed: 1})
//	if err != nil { ... }
//	l.Run(ctx)
//	fmt.Println(l.Book().Summary())
package tsload

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"turmericshed/io/tspause"
)

const (
	// defaultDeadline is how long a caller waits for one attempt.
	defaultDeadline = 30 * time.Second
	// defaultMaxInFlight bounds the requests in flight.
	defaultMaxInFlight = 10000
	// dialTimeout bounds the time to open a connection.
	dialTimeout = 2 * time.Second
)

// Options configures a Load.
type Options struct {
	// Name is the prefix of every idempotency key, so that runs don't share keys.
	Name     string
	Entries  []netip.AddrPort
	Profiles []Profile
	// Rate is the mean number of arrivals a second.
	Rate float64
	// Duration is how long requests arrive.
	Duration time.Duration
	Seed     uint64
	// ZipfExponent is above 0; 0 means 1.
	ZipfExponent float64
	// Attempts is the maximum number of attempts for a request; 0 means 6.
	Attempts int
	// Backoff is the first wait between attempts, doubled each time and
	// jittered; 0 means 100 ms.
	Backoff time.Duration
	// MaxBackoff bounds the wait; 0 means 2 s.
	MaxBackoff time.Duration
	// Deadline is sent to the entry VM with each attempt; 0 means 30 s.
	Deadline    time.Duration
	MaxInFlight int
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

func (o *Options) setDefaults() error {
	if len(o.Entries) == 0 || o.Rate <= 0 || o.Duration <= 0 || len(o.Profiles) == 0 {
		return optionError("want entry VMs, profiles, a rate above 0 and a duration above 0")
	}
	for _, p := range o.Profiles {
		if err := p.validate(); err != nil {
			return err
		}
	}
	if o.Name == "" {
		o.Name = "load"
	}
	if o.ZipfExponent <= 0 {
		o.ZipfExponent = 1
	}
	if o.Attempts <= 0 {
		o.Attempts = 6
	}
	if o.Backoff <= 0 {
		o.Backoff = 100 * time.Millisecond
	}
	if o.MaxBackoff <= 0 {
		o.MaxBackoff = 2 * time.Second
	}
	if o.Deadline <= 0 {
		o.Deadline = defaultDeadline
	}
	if o.MaxInFlight <= 0 {
		o.MaxInFlight = defaultMaxInFlight
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	return nil
}

// Load is one load run.
type Load struct {
	opts    Options
	book    *Book
	client  *http.Client
	mu      sync.Mutex
	entries []netip.AddrPort
}

// New checks the options. Errors: KindBadRequest.
func New(o Options) (*Load, error) {
	if err := o.setDefaults(); err != nil {
		return nil, err
	}
	t := &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: 256, DisableCompression: true}
	return &Load{
		opts: o, book: NewBook(), entries: o.Entries,
		client: &http.Client{Transport: t, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }},
	}, nil
}

// Book returns the callers' books. They may be read during the run.
func (l *Load) Book() *Book { return l.book }

// SetEntries replaces the entry VMs that attempts go to, as the balancer does
// when a VM is replaced.
func (l *Load) SetEntries(entries []netip.AddrPort) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append([]netip.AddrPort(nil), entries...)
}

// entryFor returns the entry VM for the n-th attempt of a request.
func (l *Load) entryFor(p Planned, n int) netip.AddrPort {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.entries[(p.Entry+uint64(n))%uint64(len(l.entries))]
}

// Run sends requests until the duration is over or ctx ends, and returns when
// the last one has its result. A request in flight when ctx ends has the result
// unknown.
func (l *Load) Run(ctx context.Context) {
	defer l.client.CloseIdleConnections()
	p := newPlan(l.opts)
	start := time.Now()
	slots := make(chan struct{}, l.opts.MaxInFlight)
	var wg sync.WaitGroup
	defer wg.Wait()
	for {
		r := p.next()
		if r.At >= l.opts.Duration || !tspause.For(ctx, time.Until(start.Add(r.At))) {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			l.book.countUnsent()
			continue
		}
		wg.Go(func() {
			defer func() { <-slots }()
			l.book.add(l.send(ctx, r))
		})
	}
}
