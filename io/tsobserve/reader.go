package tsobserve

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/core/tstimeline"
)

const (
	// timelinePath is the path at which an entry VM serves its time line.
	timelinePath = "/operator/timeline"
	// maxLineBytes bounds the length of a line that a process sends.
	maxLineBytes = 1 << 20
	// reconnectDelay is the pause before a followed process is queried again.
	reconnectDelay = time.Second
	// reorderDelay is the interval at which Follow emits events; an event waits one or
	// two intervals for earlier events of other processes.
	reorderDelay = 300 * time.Millisecond
)

// Reader reads and merges the time lines of many processes.
type Reader struct {
	Addrs []netip.AddrPort
	// OperatorKey is sent as a bearer token when set.
	OperatorKey string
	Client      *http.Client
	// Warn is called for each process that cannot be read.
	Warn func(addr netip.AddrPort, err error)
}

// Read returns the merged events of all processes. If a process cannot be read, Read
// calls Warn and omits the events that it did not receive.
func (r *Reader) Read(ctx context.Context) []turmericshed.Event {
	lists := make([][]turmericshed.Event, len(r.Addrs))
	var wg sync.WaitGroup
	for i, addr := range r.Addrs {
		wg.Go(func() {
			_, err := r.read(ctx, addr, 0, false, func(l Line) { lists[i] = append(lists[i], l.Event) })
			if err != nil {
				r.Warn(addr, err)
			}
		})
	}
	wg.Wait()
	return tstimeline.Merge(lists...)
}

// Follow passes events to emit until ctx is done. Events that arrive within
// reorderDelay of each other are emitted in order. A process that cannot be read is
// retried after reconnectDelay.
func (r *Reader) Follow(ctx context.Context, emit func(turmericshed.Event)) {
	lines := make(chan turmericshed.Event, readBatchEvents)
	for _, addr := range r.Addrs {
		go r.followOne(ctx, addr, lines)
	}
	var waiting, fresh []turmericshed.Event
	tick := time.NewTicker(reorderDelay)
	defer tick.Stop()
	for {
		select {
		case e := <-lines:
			fresh = append(fresh, e)
		case <-tick.C:
			waiting = emitInOrder(waiting, fresh, emit)
			fresh = nil
		case <-ctx.Done():
			return
		}
	}
}

// emitInOrder emits, in order, the waiting events and the fresh ones that precede the
// last of them. It returns the remaining events.
func emitInOrder(waiting, fresh []turmericshed.Event, emit func(turmericshed.Event)) []turmericshed.Event {
	all := tstimeline.Merge(waiting, fresh)
	if len(waiting) == 0 {
		return all
	}
	last := waiting[len(waiting)-1]
	n := 0
	for n < len(all) && tstimeline.Compare(all[n], last) <= 0 {
		emit(all[n])
		n++
	}
	return all[n:]
}

// followOne reads the time line of one process until ctx is done. After a disconnect it
// reconnects and continues after the last line received.
func (r *Reader) followOne(ctx context.Context, addr netip.AddrPort, lines chan<- turmericshed.Event) {
	var cursor uint64
	for ctx.Err() == nil {
		next, err := r.read(ctx, addr, cursor, true, func(l Line) {
			select {
			case lines <- l.Event:
			case <-ctx.Done():
			}
		})
		cursor = next
		if err != nil && ctx.Err() == nil {
			r.Warn(addr, err)
		}
		select {
		case <-time.After(reconnectDelay):
		case <-ctx.Done():
		}
	}
}

// read queries one process, passes each line of the answer to f and returns the cursor
// of the last line. It returns an error of KindForbidden for any status other than 200.
func (r *Reader) read(ctx context.Context, addr netip.AddrPort, cursor uint64, follow bool, f func(Line)) (uint64, error) {
	url := fmt.Sprintf("http://%s%s?since=%d&follow=%t", addr, timelinePath, cursor, follow)
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return cursor, err
	}
	if r.OperatorKey != "" {
		req.Header.Set("Authorization", "Bearer "+r.OperatorKey)
	}
	resp, err := r.Client.Do(req)
	if err != nil {
		return cursor, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return cursor, turmericshed.NewError(turmericshed.KindForbidden, "%s answered %s", addr, resp.Status)
	}
	sc := bufio.NewScanner(resp.Body)
	sc.Buffer(nil, maxLineBytes)
	for sc.Scan() {
		var l Line
		if err := json.Unmarshal(sc.Bytes(), &l); err != nil {
			return cursor, err
		}
		cursor = l.Seq
		f(l)
	}
	return cursor, sc.Err()
}
