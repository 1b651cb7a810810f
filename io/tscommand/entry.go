package tscommand

import (
	"context"
	"io"
	"runtime/debug"

	"turmericshed/io/tsobserve"
	"turmericshed/io/tsprocess"
)

// heapShare is the share of the process's memory that becomes the Go runtime's soft limit, near
// which the garbage collector runs more often. The remainder is for sockets and stacks.
const heapShare = 0.6

// limitHeap sets the Go runtime's soft limit for a process that may use the given memory in bytes;
// 0 sets none.
func limitHeap(memoryBytes int64) {
	if memoryBytes > 0 {
		debug.SetMemoryLimit(int64(float64(memoryBytes) * heapShare))
	}
}

// runEntry runs an entry VM until ctx is done, then stops it gracefully.
func runEntry(ctx context.Context, args []string, out, errOut io.Writer) error {
	cfg, logs, err := parseEntry(args, errOut)
	if err != nil {
		return err
	}
	limitHeap(cfg.MemoryBytes)
	p, err := tsprocess.New(cfg, tsprocess.Options{Log: tsobserve.NewLogger(errOut, logs.format, logs.level)})
	if err != nil {
		return err
	}
	announceAddr(out, "entry", p.Addr())
	return p.Serve(ctx)
}
