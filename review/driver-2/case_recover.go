//go:build review2

package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["recover"] = runRecover }

const (
	recoverMachines  = 9
	recoverPerSecond = 30
	recoverPrompt    = 4000
	recoverEvents    = 10
	// recoverKills is how often most machines lose power, each recoverGap, for recoverDark. recoverHit
	// machines are hit, six tenths of them at most.
	recoverKills = 4
	recoverFirst = 8 * time.Second
	recoverGap   = 11 * time.Second
	recoverDark  = 5 * time.Second
	recoverHit   = 5
	// recoverFinal is when all machines lose power at the end, for recoverDown.
	recoverFinal = recoverFirst + recoverKills*recoverGap
	recoverDown  = 1400 * time.Millisecond
	// recoverTime is the bound recoveryS, and recoverJudged for how long requests are judged after it.
	recoverTime   = 12 * time.Second
	recoverJudged = 6 * time.Second
	// recoverBudget is the prepaid amount: what all requests of the run take at most, and three tenths.
	recoverLength  = recoverFinal + recoverDown + recoverTime + recoverJudged
	recoverBudget  = int(recoverLength/time.Second) * recoverPerSecond * (recoverPrompt + recoverEvents*tokensPerEvent) * 13 / 10
	recoverQuarter = 4
)

// powerOff kills the processes of machines at once and starts them again after a while.
func (w *world) powerOff(list []*machine, dark time.Duration) {
	var wg sync.WaitGroup
	for _, m := range list {
		w.rec.add("trouble: machine %s loses power for %s", m.name, dark)
		wg.Go(func() {
			m.kill()
			time.Sleep(dark)
			if err := m.start(); err != nil {
				w.rec.add("machine %s is not back: %v", m.name, err)
			}
		})
	}
	wg.Wait()
}

// runRecover spends a prepaid budget while many machines lose power at the same time, and then all.
func runRecover(w *world, trouble bool) (bool, error) {
	e := newEngine(recoverEvents, 20*time.Millisecond)
	for i := range 12 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "assistant-llm", "eu-north-"+string("abc"[i%3]), "v1", 128, e.handle); err != nil {
			return false, err
		}
	}
	w.putConfig(streamConfig("assistant-llm", recoverBudget, 2))
	if err := w.startMachines(recoverMachines); err != nil {
		return false, err
	}
	began := time.Now()
	backAt := make(chan time.Time, 1)
	go func() {
		for i := range recoverKills {
			time.Sleep(time.Until(began.Add(recoverFirst + time.Duration(i)*recoverGap)))
			if !trouble {
				continue
			}
			var hit []*machine
			for _, n := range rand.Perm(recoverMachines)[:recoverHit] {
				hit = append(hit, w.machines[n])
			}
			w.powerOff(hit, recoverDark)
		}
		time.Sleep(time.Until(began.Add(recoverFinal)))
		w.powerOff(w.machines, recoverDown)
		backAt <- time.Now()
	}()
	var mu sync.Mutex
	var wg sync.WaitGroup
	var back time.Time
	type count struct{ asked, served int }
	var before, after count
	used, most, byStatus := 0, 0, map[int]int{}
	tick := time.NewTicker(time.Second / recoverPerSecond)
	defer tick.Stop()
	for back.IsZero() || time.Since(back) < recoverTime+recoverJudged {
		select {
		case back = <-backAt:
			continue
		case <-tick.C:
		}
		m, id := w.pick(), newID()
		at := time.Now()
		isBefore, isJudged := at.Before(began.Add(recoverFinal)), !back.IsZero() && at.After(back.Add(recoverTime))
		wg.Go(func() {
			got := m.send(ask{id: id, path: "/lohu930/2f", body: "prompt " + id, timeLimit: 8 * time.Second, header: map[string]string{
				"Model": "m", "Token-Counts": fmt.Sprintf("%d,%d", recoverPrompt, recoverEvents*tokensPerEvent),
				"Prompt-Prefix": fmt.Sprintf("5c1e07a2:800,%s:%d", id[:8], recoverPrompt-800),
			}})
			isServed := got.status == http.StatusOK && got.isWhole
			mu.Lock()
			defer mu.Unlock()
			if e.hasRun(id) {
				used += recoverPrompt + len(got.events)*tokensPerEvent
				most += recoverPrompt + recoverEvents*tokensPerEvent
			}
			byStatus[got.status]++
			for _, c := range []struct {
				*count
				counts bool
			}{{&before, isBefore}, {&after, isJudged}} {
				if c.counts {
					c.asked++
					if isServed {
						c.served++
					}
				}
			}
			w.rec.add("client: %s to %s: status %d, %d events, whole %v, consumed at most %d", id, m.name, got.status, len(got.events), got.isWhole, most)
		})
	}
	wg.Wait()
	text := fmt.Sprintf("prepaid %d, consumed %d, at most %d; served %d of %d before the final fault, %d of %d later than %s after the machines were back; answers by status %v",
		recoverBudget, used, most, before.served, before.asked, after.served, after.asked, recoverTime, byStatus)
	w.rec.add("%s", text)
	fmt.Println(text)
	if before.served*recoverQuarter < before.asked {
		return false, fmt.Errorf("%w: less than a quarter was served before the final fault", errNotRun)
	}
	return after.served*recoverQuarter < after.asked, nil
}
