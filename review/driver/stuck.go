//go:build review

package main

import (
	"fmt"
	"sync"
	"time"

	"turmericshed/platform"
)

func init() { cases["stuck"] = stuck }

const stuckTable = `{"version":%d,"routes":[
{"name":"book","host":"shop.example","prefix":"/book/","service":"booking-desk","kind":"unsafe","timeoutMs":1500,"targetLatencyMs":100,"maxAttempts":1,"priority":2}%s],
"services":[{"name":"booking-desk","maxConnections":110},{"name":"assistant-pool","maxConnections":630,"engine":{"stride":5}}],
"limits":{"maxHeaderBytes":8192,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"stall","apiKeys":["key-1"],"prepaid":900000000}]}`

const quoteRoute = `,
{"name":"quote","host":"shop.example","prefix":"/quote/","service":"assistant-pool","kind":"streaming","timeoutMs":8000,"targetLatencyMs":600,"gapTargetMs":400,"maxAttempts":2,"priority":1,"stickySessions":true}`

// stuck overwrites the entries of the servers of one service, one after the other, as
// another writer would. Each server's next check-in, 1.2 s later at most, puts it right.
func stuck(w *world) (int, error) {
	w.store.Put(platform.TableKey, []byte(fmt.Sprintf(stuckTable, 3, "")))
	const events = 24
	for i := range 3 {
		zone := string("ab"[i%2])
		if _, err := w.startServer(&server{id: fmt.Sprintf("i-desk-%d", i), svc: "booking-desk", zone: zone, slots: 6, work: 15 * time.Millisecond}); err != nil {
			return cannotRun, err
		}
		if _, err := w.startServer(&server{id: fmt.Sprintf("i-llm-%d", i), svc: "assistant-pool", zone: zone, slots: 128, work: 120 * time.Millisecond, events: events, pause: 70 * time.Millisecond}); err != nil {
			return cannotRun, err
		}
	}
	if err := w.startGateways(2); err != nil {
		return cannotRun, err
	}
	w.store.Put(platform.TableKey, []byte(fmt.Sprintf(stuckTable, 5, quoteRoute)))
	w.note("the operator adds the route quote")
	time.Sleep(3 * time.Second)
	began := time.Now()
	end := began.Add(60 * time.Second)
	var mu sync.Mutex
	var all []answer
	add := func(a answer) {
		w.note("%s", a)
		mu.Lock()
		defer mu.Unlock()
		all = append(all, a)
	}
	var last time.Time
	go func() {
		for i := range 3 {
			time.Sleep(time.Until(began.Add(time.Duration(6+6*i) * time.Second)))
			if w.trouble {
				w.store.Put(platform.ServerPrefix+fmt.Sprintf("i-llm-%d", i), []byte(`{"service":"assistant-pool","state":7}`))
				w.note("another writer overwrites the entry of i-llm-%d", i)
			}
		}
	}()
	last = began.Add(18*time.Second + heartbeat)
	var load sync.WaitGroup
	load.Go(func() {
		every(50*time.Millisecond, end, func(i int) {
			id := fmt.Sprintf("q%07d", i)
			part := fmt.Sprintf("Model: m\r\nToken-Counts: 1460,120\r\nPrompt-Prefix: %x:800,%x:660\r\n", 0xa00+i%40, 0xf0000+i)
			add(w.ask(w.gateways[i%2], "quote", id, "POST", "/quote/"+id, part, "prompt "+id, 8*time.Second))
		})
	})
	load.Go(func() {
		every(100*time.Millisecond, end, func(i int) {
			id := fmt.Sprintf("b%07d", i)
			add(w.ask(w.gateways[i%2], "book", id, "POST", "/book/"+id, "", "book "+id, 1500*time.Millisecond))
		})
	})
	load.Wait()
	// Steady state: 10 s after the last entry was put right, three times contactMs and more.
	type tally struct{ asked, served int }
	before, steady := map[string]*tally{"quote": {}, "book": {}}, map[string]*tally{"quote": {}, "book": {}}
	for _, a := range all {
		t := steady[a.kind]
		switch {
		case a.sent.Before(began.Add(6 * time.Second)):
			t = before[a.kind]
		case a.sent.Before(last.Add(10 * time.Second)):
			continue
		}
		t.asked++
		if a.err == nil && a.status == 200 && (a.kind == "book" && a.body == answerTo(a.id) || a.kind == "quote" && a.body == wholeStream(events)) {
			t.served++
		}
	}
	for _, kind := range []string{"book", "quote"} {
		w.say("%s: %d of %d served before the disruption, %d of %d in steady state after it", kind, before[kind].served, before[kind].asked, steady[kind].served, steady[kind].asked)
	}
	first, later := steady["book"], steady["quote"]
	if first.asked < 20 || later.asked < 20 || first.served == 0 || before["quote"].served == 0 {
		return cannotRun, fmt.Errorf("too few requests")
	}
	if float64(later.served)/float64(later.asked) < 0.25*float64(first.served)/float64(first.asked) {
		w.say("CONFIG broken: the route that was added later is served less than a quarter as often as the first route")
		return broken, nil
	}
	w.say("CONFIG held")
	return held, nil
}
