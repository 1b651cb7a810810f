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
	// timelinePath is where an entry VM serves its time line.
	timelinePath = "/operator/timeline"
	// maxLineBytes bounds one line read from a process.
	maxLineBytes = 1 << 20
	// reconnectDelay is the pause before a followed process is asked again.
	reconnectDelay = time.Second
	// settleDelay is how long a followed event waits for earlier ones of
	// other processes.
	reorderDelay = 300 * time.Millisecond
)

// Reader reads the time lines of many processes.
type Reader struct {
	Addrs []netip.AddrPort
	// OperatorKey is sent as a bearer token when set.
	OperatorKey string
	Client      *http.Client
	// Warn is told of processes that could not be read.
	Warn func(addr netip.AddrPort, err error)
}

// Read returns the merged events of all processes. A process that does not
// answer is told to Warn and left out.
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

// Follow passes events to emit, in order among those that arrive within the
// settle delay, until ctx ends. Processes that can't be read are asked again.
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

// emitSettled emits, in order, the events that were waiting and any fresh
// ones before them, and returns the rest.
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

// followOne reads one process again and again, going on from its last line.
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

// read passes the lines of one answer to f and returns the last cursor.
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
