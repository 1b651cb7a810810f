//go:build review2

package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["limit"] = runLimit }

const (
	limitMachines = 9
	// limitPerSecond is what the server in need names, from limitFrom after the start of the traffic.
	limitPerSecond = 2.0
	limitFrom      = 2 * time.Second
	limitWindow    = 4 * time.Second
	limitLength    = 25 * time.Second
	limitRequests  = 110
	// limitCopyAge is how old the copy is from which the store comes back.
	limitCopyAge = 5 * time.Second
)

// limited is a plain server that may name a limit.
type limited struct {
	mu        sync.Mutex
	machineOf map[string]string
	namesFrom time.Time
	// firstNamed is when the limit was first named, told when each machine passed on such an answer.
	firstNamed time.Time
	told       map[string]time.Time
	arrivals   []arrival
}

type arrival struct {
	at      time.Time
	machine string
}

func (l *limited) handle(s *server, c net.Conn, r *http.Request) bool {
	id := r.Header.Get("Attempt-Id")
	now := time.Now()
	extra := ""
	l.mu.Lock()
	machine := l.machineOf[id]
	if s.id == "i-0" {
		l.arrivals = append(l.arrivals, arrival{now, machine})
		if !l.namesFrom.IsZero() && !now.Before(l.namesFrom) {
			extra = fmt.Sprintf("Server-Limit: %.1f\r\n", limitPerSecond)
			if l.firstNamed.IsZero() {
				l.firstNamed = now
			}
		}
	}
	l.mu.Unlock()
	if s.id == "i-0" {
		s.w.rec.add("server %s runs %s from %s, names its limit: %v", s.id, id, machine, extra != "")
	}
	time.Sleep(20 * time.Millisecond)
	text := "answer to " + id
	_, err := io.WriteString(c, s.head(r, "200 OK", fmt.Sprintf("Response-Stamp: %s\r\n%sContent-Length: %d\r\n", s.id, extra, len(text)))+text)
	return err == nil
}

// runLimit has one server name a limit after the store came back from a copy that is older than
// the start of the machines.
func runLimit(w *world, trouble bool) (bool, error) {
	l := &limited{machineOf: map[string]string{}, told: map[string]time.Time{}}
	for i := range 3 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "orders-app", "eu-north-"+string("abc"[i%3]), "v1", 6, l.handle); err != nil {
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
	if trouble {
		age := limitCopyAge
		if d, err := time.ParseDuration(os.Getenv("COPYAGE")); err == nil {
			age = d
		}
		c := w.store.Copy()
		w.rec.add("store: copy taken")
		time.AfterFunc(age-time.Second, func() { w.store.SetDown(true); w.rec.add("trouble: store away") })
		time.AfterFunc(age, func() {
			w.store.Restore(c, func(key string) bool { return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") })
			w.store.SetDown(false)
			w.rec.add("trouble: store back from the copy; what the operator and the servers wrote is written again")
		})
	}
	if err := w.startMachines(limitMachines); err != nil {
		return false, err
	}
	began := time.Now()
	l.mu.Lock()
	l.namesFrom = began.Add(limitFrom)
	l.mu.Unlock()
	var wg sync.WaitGroup
	tick := time.NewTicker(time.Second / limitRequests)
	defer tick.Stop()
	for time.Since(began) < limitLength {
		<-tick.C
		m, id := w.pick(), newID()
		l.mu.Lock()
		l.machineOf[id] = m.name
		l.mu.Unlock()
		wg.Go(func() {
			got := m.send(ask{id: id, path: "/puxa403/2f", timeLimit: time.Second})
			w.rec.add("client: %s to %s: status %d", id, m.name, got.status)
			if got.header.Get("Server-Limit") != "" {
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
	if l.firstNamed.IsZero() {
		return false, fmt.Errorf("%w: no request reached the server in need", errNotRun)
	}
	most, allowed := 0, int(1.5*limitPerSecond*limitWindow.Seconds())+5
	for i, first := range l.arrivals {
		if first.at.Before(l.firstNamed.Add(contactTimeout)) {
			continue
		}
		n := 0
		for _, a := range l.arrivals[i:] {
			if a.at.Sub(first.at) >= limitWindow {
				break
			}
			if told := l.told[a.machine]; !told.IsZero() && a.at.After(told.Add(500*time.Millisecond)) {
				n++
			}
		}
		most = max(most, n)
	}
	text := fmt.Sprintf("limit %.1f a second, most in %s: %d, allowed %d, machines told %d", limitPerSecond, limitWindow, most, allowed, len(l.told))
	w.rec.add("%s", text)
	fmt.Println(text)
	return most > allowed, nil
}
