//go:build review2

package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

func init() { cases["order"] = runOrder }

const (
	// orderMachines and orderServers are as in the sheet of the installation.
	orderMachines = 9
	orderServers  = 12
	// orderUpgraded is how many servers are upgraded.
	orderUpgraded  = 5
	orderEvents    = 24
	orderPause     = 120 * time.Millisecond
	orderPerSecond = 82
	// orderGap is the time between two servers of the rolling upgrade, orderDown how long each is away,
	// and orderLag how late its entry changes after its start.
	orderGap     = time.Second
	orderDown    = 300 * time.Millisecond
	orderLag     = 800 * time.Millisecond
	orderLength  = 20 * time.Second
	orderAllowed = 2
)

// versionsOf returns the software versions that events name.
func versionsOf(events []string) (versions []string) {
	for _, e := range events {
		if _, v, ok := strings.Cut(strings.TrimSpace(e), " of "); ok && !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	return versions
}

// runOrder upgrades the servers of a service in place, one after the other, while streams run.
func runOrder(w *world, trouble bool) (bool, error) {
	e := newEngine(orderEvents, orderPause)
	for i := range orderServers {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "assistant-llm", "eu-north-"+string("abc"[i%3]), "v1", 128, e.handle); err != nil {
			return false, err
		}
	}
	w.putConfig(streamConfig("assistant-llm", 100_000_000, 2))
	if err := w.startMachines(orderMachines); err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		go func() {
			for i, s := range w.allServers()[:orderUpgraded] {
				time.Sleep(time.Until(began.Add(5*time.Second + time.Duration(i)*orderGap)))
				w.rec.add("trouble: server %s stops", s.id)
				s.crash()
				time.Sleep(orderDown)
				if err := s.listen(s.addr, "v2"); err != nil {
					w.rec.add("server %s is not back: %v", s.id, err)
					continue
				}
				s.mu.Lock()
				s.cut = true
				s.mu.Unlock()
				w.rec.add("server %s is back with version v2", s.id)
				time.AfterFunc(orderLag, func() {
					s.mu.Lock()
					s.cut = false
					s.mu.Unlock()
					s.checkIn()
				})
			}
		}()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	mixed, streams, broken := 0, 0, 0
	tick := time.NewTicker(time.Second / orderPerSecond)
	defer tick.Stop()
	for time.Since(began) < orderLength {
		<-tick.C
		wg.Go(func() {
			first := newID()
			header := map[string]string{"Model": "m", "Token-Counts": "1000,120", "Prompt-Prefix": fmt.Sprintf("%s:800,%s:200", first[8:12], first[:8])}
			m := w.pick()
			got := m.send(ask{id: first, path: "/lohu930/2f", body: "prompt " + first, timeLimit: 8 * time.Second, header: header})
			events := got.events
			w.rec.add("client: %s to %s: status %d, %d events of %q, whole %v", first, m.name, got.status, len(got.events), versionsOf(got.events), got.isWhole)
			if !got.isWhole && got.status == http.StatusOK && len(events) > 0 {
				id := newID()
				again := map[string]string{"Last-Event-Id": fmt.Sprint(len(events)), "Resumes": first}
				for k, v := range header {
					again[k] = v
				}
				m = w.pick()
				got = m.send(ask{id: id, path: "/lohu930/2f", body: "prompt " + first, timeLimit: 8*time.Second - got.took, header: again})
				events = append(events, got.events...)
				w.rec.add("client: %s to %s, resumes %s after event %s: status %d, %d events of %q, whole %v", id, m.name, first, again["Last-Event-Id"], got.status, len(got.events), versionsOf(got.events), got.isWhole)
			}
			mu.Lock()
			defer mu.Unlock()
			streams++
			if !got.isWhole || got.status != http.StatusOK {
				broken++
			}
			if v := versionsOf(events); len(v) > 1 {
				mixed++
				w.rec.add("stream %s holds events of %q: %d events", first, v, len(events))
			}
		})
	}
	wg.Wait()
	w.rec.add("streams %d, not complete %d, with events of two software versions %d", streams, broken, mixed)
	fmt.Printf("streams %d, not complete %d, with events of two software versions %d\n", streams, broken, mixed)
	return mixed > orderAllowed, nil
}
