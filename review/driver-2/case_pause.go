//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { cases["pause"] = runPause }

const (
	// pauseRetryAfter is what the server asks for.
	pauseRetryAfter = 10 * time.Second
	// pauseCutFor is how long the server is cut off from the store.
	pauseCutFor = 5 * time.Second
	// pauseBusyAt is when the server is busy after the start of the cut, for pauseBusyFor at most.
	pauseBusyAt  = 2 * time.Second
	pauseBusyFor = time.Second
	pauseLength  = 18 * time.Second
	pauseSlack   = 500 * time.Millisecond
	pauseAllowed = 2
)

// desk is a plain server that may be busy for a while.
type desk struct {
	w *world
	// machineOf names the machine that a client attempt was sent to.
	mu        sync.Mutex
	machineOf map[string]string
	busyFrom  time.Time
	// refused holds when the busy server first asked a machine to send it nothing, arrivals the
	// requests that reached it, by machine.
	refused  map[string]time.Time
	arrivals map[string][]time.Time
}

func (d *desk) handle(s *server, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	now := time.Now()
	isBusyServer := s.id == "i-0"
	d.mu.Lock()
	machine := d.machineOf[id]
	isRefused := false
	if isBusyServer && !d.busyFrom.IsZero() {
		_, wasRefused := d.refused[machine]
		isRefused = !now.Before(d.busyFrom) && now.Sub(d.busyFrom) < pauseBusyFor
		if isRefused && !wasRefused {
			d.refused[machine] = now
		}
		d.arrivals[machine] = append(d.arrivals[machine], now)
	}
	d.mu.Unlock()
	if isRefused {
		s.w.rec.add("server %s answers %s from %s: 503, Retry-After %s", s.id, id, machine, pauseRetryAfter)
		_, err := io.WriteString(c, s.head(r, "503 Service Unavailable", fmt.Sprintf("Not-Executed: 1\r\nRetry-After: %.0f\r\nContent-Length: 0\r\n", pauseRetryAfter.Seconds())))
		return err == nil
	}
	if isBusyServer {
		s.w.rec.add("server %s runs %s from %s", s.id, id, machine)
	}
	time.Sleep(20 * time.Millisecond)
	text := "answer to " + id
	_, err := io.WriteString(c, s.head(r, "200 OK", fmt.Sprintf("Response-Stamp: %s\r\nContent-Length: %d\r\n", s.id, len(text)))+text)
	return err == nil
}

// runPause has one server ask for no work while its entry lapses and comes back.
func runPause(w *world, trouble bool) (bool, error) {
	d := &desk{w: w, machineOf: map[string]string{}, refused: map[string]time.Time{}, arrivals: map[string][]time.Time{}}
	for i := range 5 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "orders-app", "eu-north-"+string("abc"[i%3]), "v1", 6, d.handle); err != nil {
			return false, err
		}
	}
	w.putConfig(map[string]any{
		"routes": []map[string]any{{
			"name": "order-status", "host": hostName, "prefix": "/puxa403/", "service": "orders-app", "kind": "safe", "timeoutMs": 1000, "targetLatencyMs": 150, "maxAttempts": 2, "priority": 2,
		}},
		"services": []map[string]any{{"name": "orders-app", "maxConnections": 110}},
		"limits":   limits(),
		"tenants":  []map[string]any{{"name": tenantName, "apiKeys": []string{keyOfTenant}}},
	})
	if err := w.startMachines(3); err != nil {
		return false, err
	}
	began := time.Now()
	go func() {
		// The cut begins between two check-ins, two seconds after the start of the traffic.
		time.Sleep(time.Until(began.Add(2 * time.Second)))
		cutAt := time.Now()
		if trouble {
			w.allServers()[0].setCut(true)
		}
		time.Sleep(time.Until(cutAt.Add(pauseBusyAt)))
		d.mu.Lock()
		d.busyFrom = time.Now()
		d.mu.Unlock()
		time.Sleep(time.Until(cutAt.Add(pauseCutFor)))
		if trouble {
			w.allServers()[0].setCut(false)
		}
	}()
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / 60)
	defer tick.Stop()
	for n := 0; time.Since(began) < pauseLength; n++ {
		<-tick.C
		m, id := w.machines[n%len(w.machines)], newID()
		d.mu.Lock()
		d.machineOf[id] = m.name
		d.mu.Unlock()
		wg.Go(func() {
			got := m.send(ask{id: id, path: "/puxa403/2f", timeLimit: time.Second})
			w.rec.add("client: %s to %s: status %d", id, m.name, got.status)
		})
	}
	wg.Wait()
	d.mu.Lock()
	defer d.mu.Unlock()
	broken, told := false, 0
	for _, m := range w.machines {
		at, ok := d.refused[m.name]
		if !ok {
			w.rec.add("machine %s: sent nothing to the server while it was busy", m.name)
			continue
		}
		told++
		n := 0
		for _, t := range d.arrivals[m.name] {
			if t.After(at.Add(pauseSlack)) && t.Before(at.Add(pauseRetryAfter)) {
				n++
			}
		}
		broken = broken || n > pauseAllowed
		w.rec.add("machine %s: %d requests reached the server between %s and %s after its 503", m.name, n, pauseSlack, pauseRetryAfter)
		fmt.Printf("machine %s: %d requests reached the server between %s and %s after its 503\n", m.name, n, pauseSlack, pauseRetryAfter)
	}
	if told == 0 {
		return false, fmt.Errorf("%w: the busy server refused nothing", errNotRun)
	}
	return broken, nil
}
