//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["counts"] = runCounts }

const (
	countsPrepaid   = 6_000_000
	countsPrompt    = 4000
	countsEvents    = 10
	countsPerSecond = 40
	// countsOdd is the Token-Counts of one request in countsOddEach, whose sum exceeds 63 bits.
	countsOdd     = "4611686018427387904,4611686018427387904"
	countsOddEach = 4
	// countsKillEach is how often all processes are killed; each is back after countsDown.
	countsKillEach = 14 * time.Second
	countsDown     = 300 * time.Millisecond
	countsLength   = 80 * time.Second
)

// runCounts spends a prepaid budget beside requests that name absurd counts, while all processes
// are killed now and then.
func runCounts(w *world, trouble bool) (bool, error) {
	e := newEngine(countsEvents, 20*time.Millisecond)
	for i := range 6 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "assistant-llm", "eu-north-"+string("abc"[i%3]), "v1", 128, e.handle); err != nil {
			return false, err
		}
	}
	w.putConfig(streamConfig("assistant-llm", countsPrepaid, 2))
	if err := w.startMachines(3); err != nil {
		return false, err
	}
	began := time.Now()
	go func() {
		for at := countsKillEach; at < countsLength; at += countsKillEach {
			time.Sleep(time.Until(began.Add(at)))
			w.powerOff(w.machines, countsDown)
		}
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	used, byStatus, oddByStatus := 0, map[int]int{}, map[int]int{}
	tick := time.NewTicker(time.Second / countsPerSecond)
	defer tick.Stop()
	for n := 0; time.Since(began) < countsLength; n++ {
		<-tick.C
		m, id := w.pick(), newID()
		counts, isOdd := fmt.Sprintf("%d,%d", countsPrompt, countsEvents*tokensPerEvent), n%countsOddEach == 0
		switch {
		case isOdd && !trouble:
			continue
		case isOdd:
			counts = countsOdd
		}
		wg.Go(func() {
			got := m.send(ask{id: id, path: "/lohu930/2f", body: "prompt " + id, timeLimit: 8 * time.Second, header: map[string]string{
				"Model": "m", "Token-Counts": counts, "Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:%d", id[:8], countsPrompt-800),
			}})
			mu.Lock()
			defer mu.Unlock()
			if isOdd {
				oddByStatus[got.status]++
				return
			}
			tokens := 0
			if e.hasRun(id) && got.status == http.StatusOK {
				tokens = countsPrompt + len(got.events)*tokensPerEvent
			}
			used += tokens
			byStatus[got.status]++
			w.rec.add("client: %s to %s: status %d, %d events, whole %v, tokens %d, sum %d", id, m.name, got.status, len(got.events), got.isWhole, tokens, used)
		})
	}
	wg.Wait()
	text := fmt.Sprintf("prepaid %d, consumed %d, answers by status %v, to requests with absurd counts %v", countsPrepaid, used, byStatus, oddByStatus)
	w.rec.add("%s", text)
	fmt.Println(text)
	if used < countsPrepaid/2 {
		return false, fmt.Errorf("%w: only %d tokens were consumed", errNotRun, used)
	}
	return used > countsPrepaid, nil
}
