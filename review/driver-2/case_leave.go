//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"turmericshed/platform"
)

func init() { cases["leave"] = runLeave }

const (
	leaveMachines  = 9
	leavePerSecond = 110
	// leaveCopyAt is when the copy is taken, leaveAt when the server leaves, leaveAwayAt when the store
	// goes away and leaveBackAt when it is back from the copy, after the start of the traffic.
	leaveCopyAt = 4300 * time.Millisecond
	leaveAt     = 5000 * time.Millisecond
	leaveAwayAt = 6800 * time.Millisecond
	leaveBackAt = 7400 * time.Millisecond
	// leaveExitAt is when the server's process ends.
	leaveExitAt = 11 * time.Second
	leaveLength = 14 * time.Second
	leaveDrain  = 2 * time.Second
	// leaveWork is how long a server works on a request.
	leaveWork = 200 * time.Millisecond
)

// leaver holds servers of which i-0 leaves without a report: its entry is removed, it names its leaving in
// all answers, and it serves on for a while.
type leaver struct {
	mu        sync.Mutex
	isLeaving bool
	machineOf map[string]string
	sentAt    map[string]time.Time
	// told holds when each machine had passed on an answer that names the leaving.
	told map[string]time.Time
	late int
}

func (l *leaver) handle(s *server, c net.Conn, r *http.Request) bool {
	id, extra := r.Header.Get("Attempt-Id"), ""
	l.mu.Lock()
	if s.id == "i-0" {
		machine, sent := l.machineOf[id], l.sentAt[id]
		if told := l.told[machine]; l.isLeaving && !told.IsZero() && sent.After(told.Add(leaveDrain)) {
			l.late++
			s.w.rec.add("server %s runs %s, sent by its client to %s %.3f s after that machine had passed on Server-Leaving", s.id, id, machine, sent.Sub(told).Seconds())
		}
	}
	l.mu.Unlock()
	time.Sleep(leaveWork)
	l.mu.Lock()
	if s.id == "i-0" && l.isLeaving {
		extra = "Server-Leaving: 1\r\n"
	}
	l.mu.Unlock()
	text := "answer to " + id
	_, err := io.WriteString(c, s.head(r, "200 OK", fmt.Sprintf("Response-Stamp: %s\r\n%sContent-Length: %d\r\n", s.id, extra, len(text)))+text)
	return err == nil
}

// playDrill removes the entry of the leaving server, and lets the store come back from a copy in which
// it is listed.
func (l *leaver) playDrill(w *world, s *server, began time.Time, trouble bool) {
	time.Sleep(time.Until(began.Add(leaveCopyAt)))
	copied := w.store.Copy()
	w.rec.add("store: copy taken")
	time.Sleep(time.Until(began.Add(leaveAt)))
	s.mu.Lock()
	s.cut = true
	s.mu.Unlock()
	l.mu.Lock()
	l.isLeaving = true
	l.mu.Unlock()
	w.store.Remove(platform.ServerPrefix + s.id)
	w.rec.add("server %s leaves, its entry is removed", s.id)
	if trouble {
		time.Sleep(time.Until(began.Add(leaveAwayAt)))
		w.store.SetDown(true)
		w.rec.add("trouble: store away")
		time.Sleep(time.Until(began.Add(leaveBackAt)))
		w.store.Restore(copied, func(key string) bool { return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") })
		w.store.SetDown(false)
		w.rec.add("trouble: store back from the copy; what the operator and the servers wrote is written again")
	}
	time.Sleep(time.Until(began.Add(leaveExitAt)))
	s.crash()
	w.rec.add("server %s exits", s.id)
}

// runLeave has a server leave in the seconds that the store loses.
func runLeave(w *world, trouble bool) (bool, error) {
	l := &leaver{machineOf: map[string]string{}, sentAt: map[string]time.Time{}, told: map[string]time.Time{}}
	for i := range 4 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "orders-app", "eu-north-"+string("abc"[i%3]), "v1", 16, l.handle); err != nil {
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
	if err := w.startMachines(leaveMachines); err != nil {
		return false, err
	}
	began := time.Now()
	go l.playDrill(w, w.allServers()[0], began, trouble)
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / leavePerSecond)
	defer tick.Stop()
	for time.Since(began) < leaveLength {
		<-tick.C
		m, id := w.pick(), newID()
		l.mu.Lock()
		l.machineOf[id], l.sentAt[id] = m.name, time.Now()
		l.mu.Unlock()
		wg.Go(func() {
			got := m.send(ask{id: id, path: "/puxa403/2f", timeLimit: time.Second})
			w.rec.add("client: %s to %s: status %d, Server-Leaving %q", id, m.name, got.status, got.header.Get("Server-Leaving"))
			if got.header.Get("Server-Leaving") != "" {
				l.mu.Lock()
				defer l.mu.Unlock()
				if l.told[m.name].IsZero() {
					l.told[m.name] = time.Now()
				}
			}
		})
	}
	wg.Wait()
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.told) == 0 {
		return false, fmt.Errorf("%w: no answer named the leaving", errNotRun)
	}
	text := fmt.Sprintf("machines told %d, requests sent over %s later that reached the leaving server: %d, allowed 0", len(l.told), leaveDrain, l.late)
	w.rec.add("%s", text)
	fmt.Println(text)
	return l.late > 0, nil
}
