//go:build review2

package main

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

func init() { cases["free"] = runFree }

const (
	freePrepaid   = 50_000
	freePrompt    = 100
	freeEvents    = 10
	freePerSecond = 100
	freeLength    = 25 * time.Second
)

// runFree spends a prepaid budget with requests that leave out Token-Counts. Of these only the output
// that the client got is counted.
func runFree(w *world, trouble bool) (bool, error) {
	e := newEngine(freeEvents, 20*time.Millisecond)
	for i := range 6 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "assistant-llm", "eu-north-"+string("abc"[i%3]), "v1", 128, e.handle); err != nil {
			return false, err
		}
	}
	w.putConfig(streamConfig("assistant-llm", freePrepaid, 2))
	if err := w.startMachines(3); err != nil {
		return false, err
	}
	began := time.Now()
	var mu sync.Mutex
	var wg sync.WaitGroup
	input, output, byStatus := 0, 0, map[int]int{}
	tick := time.NewTicker(time.Second / freePerSecond)
	defer tick.Stop()
	for time.Since(began) < freeLength {
		<-tick.C
		m, id := w.pick(), newID()
		wg.Go(func() {
			header := map[string]string{"Model": "m", "Prompt-Prefix": fmt.Sprintf("5c1e07a2:80,%s:%d", id[:8], freePrompt-80)}
			if !trouble {
				header["Token-Counts"] = fmt.Sprintf("%d,%d", freePrompt, freeEvents*tokensPerEvent)
			}
			got := m.send(ask{id: id, path: "/lohu930/2f", body: "prompt " + id, timeLimit: 8 * time.Second, header: header})
			mu.Lock()
			defer mu.Unlock()
			if e.hasRun(id) && got.status == http.StatusOK {
				if !trouble {
					input += freePrompt
				}
				output += len(got.events) * tokensPerEvent
			}
			byStatus[got.status]++
			w.rec.add("client: %s to %s: status %d, %d events, whole %v", id, m.name, got.status, len(got.events), got.isWhole)
		})
	}
	wg.Wait()
	text := fmt.Sprintf("prepaid %d, consumed %d of input and %d of output, answers by status %v", freePrepaid, input, output, byStatus)
	w.rec.add("%s", text)
	fmt.Println(text)
	if input+output < freePrepaid/2 {
		return false, fmt.Errorf("%w: only %d tokens were consumed", errNotRun, input+output)
	}
	return input+output > freePrepaid, nil
}
