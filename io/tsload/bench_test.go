package tsload_test

import (
	"context"
	"log/slog"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsload"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

// BenchmarkExchange measures a call between two entry VMs with 30 readings each way, over
// the loopback interface. cpu-us/op is the processor time of both sides.
func BenchmarkExchange(b *testing.B) {
	f := &fleet{}
	for range 90 {
		f.servers = append(f.servers, turmericshed.BackendServer{ID: turmericshed.ServerID(turmericshed.NewID("i-"))})
	}
	v := &vm{f: f, self: turmericshed.EntryVM{Name: "vm-0"}}
	board := &tsboard.Board{}
	board.Servers.Write(f.servers)
	s := tsload.New(tsload.Config{Board: board, Members: v, Log: slog.New(slog.DiscardHandler)})
	cfg := tspeer.Config{HTTP1: true}
	server := tspeer.NewServer(cfg)
	server.Mount(s.Handler())
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = server.Serve(ctx, ln) }()
	hc, base := tspeer.NewTransport(cfg).Client(netip.MustParseAddrPort(ln.Addr().String()))
	client := tspeerapi.NewLoadServiceClient(hc, base, connect.WithAcceptCompression("gzip", nil, nil))
	m := &tspeerapi.LoadExchange{From: "vm-1"}
	for i := range 30 {
		m.Server, m.AgeMs = append(m.Server, uint32(i)), append(m.AgeMs, 100)
		m.Running, m.Queued, m.WorkPercent = append(m.Running, 9), append(m.Queued, 0), append(m.WorkPercent, 250)
	}
	before := processorTime(b)
	for b.Loop() {
		for _, o := range f.servers[:30] {
			s.Record(time.Now(), turmericshed.LoadReport{Server: o.ID, At: time.Now(), Running: 9, WorkTime: 2.5})
		}
		if _, err := client.Exchange(ctx, connect.NewRequest(m)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(time.Microsecond)/float64(b.N), "cpu-us/op")
}

// processorTime returns the processor time that the process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
