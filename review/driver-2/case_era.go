//go:build review2

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["era"] = runEra }

const (
	eraPrepaid   = 3_000_000
	eraPrompt    = 4000
	eraEvents    = 10
	eraPerSecond = 40
	// eraCopyAt is when the copy is taken, eraAwayAt when the store goes away and eraBackAt when it
	// is back from the copy, after the start of the traffic.
	eraCopyAt = 4 * time.Second
	eraAwayAt = 7 * time.Second
	eraBackAt = 8 * time.Second
	eraLength = 45 * time.Second
)

// runEra spends a prepaid budget while the store comes back once from an older copy.
func runEra(w *world, trouble bool) (bool, error) {
	e := newEngine(eraEvents, 20*time.Millisecond)
	for i := range 6 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "assistant-llm", "eu-north-"+string("abc"[i%3]), "v1", 128, e.handle); err != nil {
			return false, err
		}
	}
	w.putConfig(streamConfig("assistant-llm", eraPrepaid, 2))
	if err := w.startMachines(3); err != nil {
		return false, err
	}
	began := time.Now()
	if trouble {
		go func() {
			time.Sleep(time.Until(began.Add(eraCopyAt)))
			c := w.store.Copy()
			w.rec.add("store: copy taken")
			time.Sleep(time.Until(began.Add(eraAwayAt)))
			w.store.SetDown(true)
			w.rec.add("trouble: store away")
			time.Sleep(time.Until(began.Add(eraBackAt)))
			w.store.Restore(c, func(key string) bool { return strings.HasPrefix(key, "op/") || strings.HasPrefix(key, "servers/") })
			w.store.SetDown(false)
			w.rec.add("trouble: store back from the copy; what the operator and the servers wrote is written again")
		}()
	}
	var mu sync.Mutex
	var wg sync.WaitGroup
	used, byStatus := 0, map[int]int{}
	tick := time.NewTicker(time.Second / eraPerSecond)
	defer tick.Stop()
	for n := 0; time.Since(began) < eraLength; n++ {
		<-tick.C
		m, id := w.pick(), newID()
		wg.Go(func() {
			got := m.send(ask{id: id, path: "/lohu930/2f", body: "prompt " + id, timeLimit: 8 * time.Second, header: map[string]string{
				"Model": "m", "Token-Counts": fmt.Sprintf("%d,%d", eraPrompt, eraEvents*tokensPerEvent),
				"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:%d", id[:8], eraPrompt-800),
			}})
			tokens := 0
			if e.hasRun(id) && got.status == http.StatusOK {
				tokens = eraPrompt + len(got.events)*tokensPerEvent
			}
			mu.Lock()
			defer mu.Unlock()
			used += tokens
			byStatus[got.status]++
			w.rec.add("client: %s to %s: status %d, %d events, whole %v, tokens %d, sum %d", id, m.name, got.status, len(got.events), got.isWhole, tokens, used)
		})
	}
	wg.Wait()
	w.rec.add("prepaid %d, consumed %d, answers by status %v", eraPrepaid, used, byStatus)
	fmt.Printf("prepaid %d, consumed %d, answers by status %v\n", eraPrepaid, used, byStatus)
	if used < eraPrepaid/2 {
		return false, fmt.Errorf("%w: only %d tokens were consumed", errNotRun, used)
	}
	return used > eraPrepaid, nil
}
