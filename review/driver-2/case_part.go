//go:build review2

package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["part"] = runPart }

const (
	partCount = 20
	// partPosition is the position of the deadly part in the prompt, from 1.
	partPosition = 18
	deadlyPart   = "dead0001"
	partLength   = 40 * time.Second
	// partFrees is the number of crashes after which the part must be known within contactTimeout,
	// and partLate how many requests may still reach servers after that.
	partFrees = 5
	partLate  = 3
)

// prompt returns a prompt of shared parts, with the given one at the position, and a last part of its own.
func prompt(part string, position int, last string) (prefix string, tokens int) {
	var parts []string
	for i := 1; i < partCount; i++ {
		id := fmt.Sprintf("5ca1e%03x", i)
		if part != "" && i == position {
			id = part
		}
		parts = append(parts, id+":100")
	}
	return strings.Join(append(parts, last+":100"), ","), partCount * 100
}

// runPart sends requests with a part that crashes servers, beside sound ones.
func runPart(w *world, trouble bool) (bool, error) {
	position := partPosition
	if n, err := strconv.Atoi(os.Getenv("POSITION")); err == nil {
		position = n
	}
	e := newEngine(10, 20*time.Millisecond)
	e.part, e.back = deadlyPart, 2*time.Second
	for i := range 12 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "assistant-llm", "eu-north-"+string("abc"[i%3]), "v1", 128, e.handle); err != nil {
			return false, err
		}
	}
	w.putConfig(streamConfig("assistant-llm", 100_000_000, 2))
	if err := w.startMachines(3); err != nil {
		return false, err
	}
	var wg sync.WaitGroup
	began := time.Now()
	send := func(isDeadly bool) {
		m, id := w.pick(), newID()
		part := ""
		if isDeadly {
			part = deadlyPart
		}
		prefix, tokens := prompt(part, position, id[:8])
		wg.Go(func() {
			got := m.send(ask{id: id, path: "/lohu930/2f", body: "prompt " + id, timeLimit: 8 * time.Second, header: map[string]string{
				"Model": "m", "Token-Counts": fmt.Sprintf("%d,50", tokens), "Prompt-Prefix": prefix,
			}})
			w.rec.add("client: %s to %s, deadly %v: status %d, %d events, whole %v", id, m.name, isDeadly, got.status, len(got.events), got.isWhole)
		})
	}
	sound, deadly := time.NewTicker(100*time.Millisecond), time.NewTicker(500*time.Millisecond)
	defer sound.Stop()
	defer deadly.Stop()
	for time.Since(began) < partLength {
		select {
		case <-sound.C:
			send(false)
		case <-deadly.C:
			// The first requests of the part come after sound ones.
			if trouble && time.Since(began) > 5*time.Second {
				send(true)
			}
		}
	}
	wg.Wait()
	e.mu.Lock()
	defer e.mu.Unlock()
	late := 0
	if len(e.crashes) >= partFrees {
		for _, at := range e.arrivals {
			if at.After(e.crashes[partFrees-1].Add(contactTimeout)) {
				late++
			}
		}
	}
	w.rec.add("crashes %d, requests with the part that reached servers %d, of them %d later than %s after crash %d", len(e.crashes), len(e.arrivals), late, contactTimeout, partFrees)
	fmt.Printf("crashes %d, requests with the part that reached servers %d, of them %d later than %s after crash %d\n", len(e.crashes), len(e.arrivals), late, contactTimeout, partFrees)
	return late > partLate, nil
}
