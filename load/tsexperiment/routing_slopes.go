package tsexperiment

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"turmericshed"
	"turmericshed/core/tsadmit"
	"turmericshed/core/tsroute"
	"turmericshed/io/tsbackend"
)

// RoutingSlopes are the per-unit costs of routing and admission for docs/CAPACITY.md.
type RoutingSlopes struct {
	Picks    []RoutingPickSlope   `json:"picks"`
	Admits   []RoutingAdmitSlope  `json:"admits"`
	Readings RoutingReadingsSlope `json:"load_readings"`
}

// RoutingPickSlope is the cost of one pick with its completion, by the number of servers that have
// the model, and the memory per server.
type RoutingPickSlope struct {
	Candidates      int     `json:"candidates"`
	PickMicros      float64 `json:"pick_us"`
	PrefixMicros    float64 `json:"pick_with_prefix_us"`
	ReportMicros    float64 `json:"report_us"`
	PressureMicros  float64 `json:"pressure_us"`
	BytesPerServer  float64 `json:"bytes_per_server"`
	SetServersMilli float64 `json:"set_servers_ms"`
}

// RoutingAdmitSlope is the cost of one admission with its release, by the number of active
// accounts: with spare capacity, and with requests of all accounts waiting.
type RoutingAdmitSlope struct {
	Accounts        int     `json:"accounts"`
	RoomMicros      float64 `json:"admit_with_room_us"`
	QueueMicros     float64 `json:"admit_with_queue_us"`
	BytesPerAccount float64 `json:"bytes_per_account"`
}

// RoutingReadingsSlope is the cost of reading one load report. The bytes count both directions,
// with HTTP headers and without TCP headers.
type RoutingReadingsSlope struct {
	BytesPerReading float64 `json:"bytes_per_reading"`
	MicrosEach      float64 `json:"reading_us"`
}

// The sizes at which slopes are measured.
var (
	routingPickSizes  = []int{12, 64, 128, 514}
	routingAdmitSizes = []int{10, 100, 1700}
)

// routingSlopeRuns is the number of operations that a slope is averaged over.
const routingSlopeRuns = 20_000

// measureRoutingSlopes measures on the real clock.
func measureRoutingSlopes(ctx context.Context, o Options) (RoutingSlopes, error) {
	var res RoutingSlopes
	for _, n := range routingPickSizes {
		res.Picks = append(res.Picks, routingPickSlope(o.Seed, n))
	}
	for _, n := range routingAdmitSizes {
		res.Admits = append(res.Admits, routingAdmitSlope(n))
	}
	var err error
	res.Readings, err = routingReadingsSlope(ctx)
	return res, err
}

// meanMicros calls f n times and returns the mean time of a call in microseconds.
func meanMicros(n int, f func(i int)) float64 {
	began := time.Now()
	for i := range n {
		f(i)
	}
	return float64(time.Since(began).Nanoseconds()) / 1000 / float64(n)
}

func routingPickSlope(seed uint64, n int) RoutingPickSlope {
	list := make([]turmericshed.BackendServer, n)
	for i := range list {
		list[i] = turmericshed.BackendServer{
			ID: turmericshed.ServerID(fmt.Sprintf("engine-%d", i)), FailureDomain: routingDomain(i),
			Work: turmericshed.WorkAssistant, Models: []turmericshed.Model{"m"}, Slots: routingSlots,
		}
	}
	s := RoutingPickSlope{Candidates: n}
	before := heapBytes()
	r := tsroute.New(tsroute.Config{FailureDomain: "a", Rand: rand.New(rand.NewPCG(seed, 1))})
	s.SetServersMilli = meanMicros(1, func(int) { r.SetServers(routingEpoch, list) }) / 1000
	s.BytesPerServer = float64(heapBytes()-before) / float64(n)
	now := routingEpoch
	s.ReportMicros = meanMicros(routingSlopeRuns, func(i int) {
		now = now.Add(time.Millisecond)
		r.Report(now, turmericshed.LoadReport{Server: list[i%n].ID, At: now, Running: i % 9})
	})
	pick := func(prefix uint64) {
		now = now.Add(time.Millisecond)
		req := turmericshed.RouteRequest{Work: turmericshed.WorkAssistant, Model: "m", Prefix: prefix}
		if b, err := r.Pick(now, req); err == nil {
			r.Done(now, b.ID, req, turmericshed.DispatchResult{FirstByte: 1})
		}
	}
	s.PickMicros = meanMicros(routingSlopeRuns, func(int) { pick(0) })
	s.PrefixMicros = meanMicros(routingSlopeRuns, func(i int) { pick(uint64(i%300+1) * 0x9e3779b97f4a7c15) })
	s.PressureMicros = meanMicros(1000, func(int) { r.Pressure(now, turmericshed.WorkAssistant) })
	runtime.KeepAlive(r)
	return s
}

func routingAdmitSlope(accounts int) RoutingAdmitSlope {
	s := RoutingAdmitSlope{Accounts: accounts}
	names := make([]turmericshed.AccountID, accounts)
	for i := range names {
		names[i] = turmericshed.AccountID(fmt.Sprintf("account-%d", i))
	}
	before := heapBytes()
	q := tsadmit.New(tsadmit.Config{MaxQueued: 1 << 20})
	now, ticket := routingEpoch, tsadmit.Ticket(0)
	offer := func(i int) {
		ticket++
		now = now.Add(time.Millisecond / 4)
		q.Offer(now, ticket, turmericshed.AdmitRequest{Account: names[i%accounts], Work: turmericshed.WorkAssistant, Cost: 100})
	}
	for i := range accounts {
		offer(i)
		q.Release(now, ticket)
	}
	s.BytesPerAccount = float64(heapBytes()-before) / float64(accounts)
	s.RoomMicros = meanMicros(routingSlopeRuns, func(i int) {
		offer(i)
		q.Release(now, ticket)
	})
	var running []tsadmit.Ticket
	recordAdmitted := func(ds []tsadmit.Decision) {
		for _, d := range ds {
			if d.Verdict == tsadmit.Admitted {
				running = append(running, d.Ticket)
			}
		}
	}
	offerAndRecord := func(i int) {
		ticket++
		now = now.Add(time.Millisecond / 4)
		recordAdmitted(q.Offer(now, ticket, turmericshed.AdmitRequest{Account: names[i%accounts], Work: turmericshed.WorkAssistant, Cost: 100}))
	}
	for i := range 256 + 2*accounts {
		offerAndRecord(i)
	}
	s.QueueMicros = meanMicros(routingSlopeRuns/10, func(i int) {
		offerAndRecord(i)
		if len(running) > 0 {
			t := running[0]
			running = running[1:]
			recordAdmitted(q.Release(now, t))
		}
	})
	return s
}

// countedConn counts the bytes of a connection in both directions.
type countedConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read counts the bytes read.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write counts the bytes written.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

func routingReadingsSlope(ctx context.Context) (RoutingReadingsSlope, error) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(turmericshed.LoadReport{
			Server: "engine-1234", At: time.Now(), Running: 12, Queued: 3, TokensPerSecond: 812.5,
		})
	}))
	defer srv.Close()
	addr, err := netip.ParseAddrPort(srv.Listener.Addr().String())
	if err != nil {
		return RoutingReadingsSlope{}, err
	}
	var bytes atomic.Int64
	var dialer net.Dialer
	engine := tsbackend.NewEngine(tsbackend.Options{Dial: func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, addr)
		return countedConn{conn, &bytes}, err
	}})
	const n = 500
	s := RoutingReadingsSlope{}
	s.MicrosEach = meanMicros(n, func(int) {
		if _, e := engine.Load(ctx, turmericshed.BackendServer{ID: "engine-1234", Addr: addr}); e != nil {
			err = e
		}
	})
	s.BytesPerReading = float64(bytes.Load()) / n
	return s, err
}
