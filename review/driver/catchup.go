//go:build review

package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"turmericshed/platform"
)

func init() { cases["catchup"] = catchup }

const (
	// sheetRoutes is the number of routes of loopwell-ops, and moreRoutes what one big_config adds.
	sheetRoutes = 115
	moreRoutes  = 350
	bigConfigs  = 4
)

// catchupTable returns a desired state. The tenant's old key is missing from version last on.
func catchupTable(version int, hasOldKey bool) []byte {
	var routes strings.Builder
	for i := range sheetRoutes + bigConfigs*moreRoutes {
		fmt.Fprintf(&routes, `,{"name":"route-%[1]d-%[2]d","host":"shop.example","prefix":"/idle%[1]d/","service":"booking-desk","kind":"safe","timeoutMs":1500,"targetLatencyMs":100,"gapTargetMs":0,"maxAttempts":2,"priority":2,"allowAnonymous":false,"stickySessions":false,"resumable":false}`, i, i%7)
	}
	keys := `"key-1"`
	if hasOldKey {
		keys += `,"key-old"`
	}
	return []byte(fmt.Sprintf(`{"version":%d,"routes":[{"name":"look","host":"shop.example","prefix":"/look/","service":"booking-desk","kind":"safe","timeoutMs":1500,"targetLatencyMs":100,"maxAttempts":2,"priority":2}%s],
"services":[{"name":"booking-desk","maxConnections":110}],
"limits":{"maxHeaderBytes":8192,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
"tenants":[{"name":"stall","apiKeys":[%s],"prepaid":900000000}]}`, version, routes.String(), keys))
}

// catchup cuts the gateways off from the store for 8 s, while the operator changes the
// desired state each 0.33 s for 4 s. The last change takes a key away.
func catchup(w *world) (int, error) {
	const (
		cutFor, changesFor, changeGap = 8 * time.Second, 4 * time.Second, 330 * time.Millisecond
		contact, apply, history       = 3 * time.Second, 2 * time.Second, 20 * time.Second
	)
	version := 3
	w.store.Put(platform.TableKey, catchupTable(version, true))
	w.note("the desired state has %d bytes", len(catchupTable(version, true)))
	for i := range 3 {
		if _, err := w.startServer(&server{id: fmt.Sprintf("i-desk-%d", i), svc: "booking-desk", zone: string("ab"[i%2]), slots: 6, work: 15 * time.Millisecond}); err != nil {
			return cannotRun, err
		}
	}
	link, err := startProxy(w.storeURL)
	if err != nil {
		return cannotRun, err
	}
	w.storeURL = link.ln.Addr().String()
	if err := w.startGateways(2); err != nil {
		return cannotRun, err
	}
	time.Sleep(4 * time.Second)
	began := time.Now()
	end := began.Add(cutFor + 30*time.Second)
	if w.trouble {
		link.cut()
		w.note("both gateways are cut off from the store")
	}
	var revoked time.Time
	var plan sync.WaitGroup
	plan.Go(func() {
		time.Sleep(time.Second)
		for n := 0; n < int(changesFor/changeGap); n++ {
			version += 2
			isLast := n == int(changesFor/changeGap)-1
			w.store.Put(platform.TableKey, catchupTable(version, !isLast))
			w.note("the store confirms version %d, old key %t", version, !isLast)
			if isLast {
				revoked = time.Now()
			}
			time.Sleep(changeGap)
		}
		time.Sleep(time.Until(began.Add(cutFor)))
		link.heal()
		w.note("the cut is over")
		time.Sleep(time.Until(revoked.Add(history)))
		w.store.Compact()
		w.note("the store drops the history, %s after the last change", history)
	})
	inTouch := began.Add(cutFor + contact)
	var mu sync.Mutex
	ran, refused, sound := 0, 0, 0
	var lastRun time.Time
	every(100*time.Millisecond, end, func(i int) {
		g := w.gateways[i%2]
		key, kind := "key-old", "old-key"
		if i%4 < 2 {
			key, kind = "key-1", "look"
		}
		id := fmt.Sprintf("%s-%06d", kind, i)
		a := w.askWithKey(g, key, kind, id, http.MethodGet, "/look/"+id, "", "", 1500*time.Millisecond)
		w.note("%s", a)
		mu.Lock()
		defer mu.Unlock()
		if revoked.IsZero() || a.sent.Before(revoked.Add(apply)) || a.sent.Before(inTouch) {
			return
		}
		switch {
		case kind == "look" && a.status == http.StatusOK:
			sound++
		case kind == "old-key" && a.status == http.StatusOK && a.body == answerTo(id):
			ran++
			lastRun = a.sent
		case kind == "old-key" && a.status == http.StatusUnauthorized:
			refused++
		}
	})
	plan.Wait()
	w.say("machines in touch, over %s after the confirmation: %d requests with the key that was taken away were run and %d refused; %d with the other key were served", apply, ran, refused, sound)
	if ran > 0 {
		w.say("CONFIG broken: the last one was sent %.1f s after the cut and %.1f s after the confirmation", lastRun.Sub(began.Add(cutFor)).Seconds(), lastRun.Sub(revoked).Seconds())
		return broken, nil
	}
	if refused < 10 || sound < 10 {
		return cannotRun, fmt.Errorf("too few requests")
	}
	w.say("CONFIG held")
	return held, nil
}
