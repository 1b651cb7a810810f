//go:build review

package main

import (
	"bytes"
	"fmt"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"turmericshed/platform"
)

func init() { cases["endless"] = endless }

// endless lets one of nine servers send the body of some of its answers without end, and
// ends processes that exceed the memory of their machine, as the platform does.
func endless(w *world) (int, error) {
	const (
		// The figures of the sheet and the site file: streams a second, servers, and the
		// share, length and strength of srv_grey.
		perSecond, servers, events  = 61, 9, 24
		greyFor, calmFor, greyShare = 6500 * time.Millisecond, 3500 * time.Millisecond, 0.45
		occurrences, gateways       = 9, 2
		// bytesPerSecond is the rate of an endless body, 20 Mbit/s of a link of 1,000.
		bytesPerSecond = 2_500_000
		memoryKB       = 134 << 10
		// faultEnds is how often processes of a machine may end by themselves.
		faultEnds, faultMachines = 3, 2
	)
	w.store.Put(platform.TableKey, []byte(fmt.Sprintf(stuckTable, 3, quoteRoute)))
	// grey is the number of the server in trouble, -1 for none.
	var grey atomic.Int64
	grey.Store(-1)
	var asked atomic.Int64
	chunk := "10000\r\n" + strings.Repeat("x", 1<<16) + "\r\n"
	for i := range servers {
		s := &server{id: fmt.Sprintf("i-llm-%d", i), svc: "assistant-pool", zone: string("ab"[i%2]), slots: 128, work: 120 * time.Millisecond, events: events, pause: 40 * time.Millisecond}
		s.trouble = func(s *server, c net.Conn, r *http.Request) bool {
			if grey.Load() != int64(i) || float64(asked.Add(1)*9%20) >= 20*greyShare {
				return false
			}
			id := r.Header.Get("Attempt-Id")
			put(c, "HTTP/1.1 500 Internal Server Error\r\nAttempt-Id: "+id+"\r\nResponse-Stamp: "+s.id+"."+id+"\r\nTransfer-Encoding: chunked\r\n\r\n")
			began, sent := time.Now(), 0
			for put(c, chunk) {
				sent += len(chunk)
				time.Sleep(time.Until(began.Add(time.Duration(sent) * time.Second / bytesPerSecond)))
			}
			w.note("server %s sent %d bytes of an endless body for %s in %.1f s, until the caller closed", s.id, sent, id, time.Since(began).Seconds())
			return true
		}
		if _, err := w.startServer(s); err != nil {
			return cannotRun, err
		}
	}
	if err := w.startGateways(gateways); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	end := time.Now().Add(occurrences * (greyFor + calmFor))
	var mu sync.Mutex
	ends, peak, up := map[string]int{}, map[string]int{}, map[string]bool{}
	var platformDuties sync.WaitGroup
	for _, g := range w.gateways {
		up[g.name] = true
		platformDuties.Go(func() {
			for ; time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				kb := anonymousKB(g.cmd.Process.Pid)
				mu.Lock()
				peak[g.name] = max(peak[g.name], kb)
				mu.Unlock()
				if kb <= memoryKB {
					continue
				}
				w.note("%s holds %d kB of memory: the platform ends its process", g.name, kb)
				mu.Lock()
				ends[g.name]++
				up[g.name] = false
				mu.Unlock()
				_ = g.cmd.Process.Signal(syscall.SIGKILL)
				<-g.exited
				time.Sleep(500 * time.Millisecond)
				if err := w.relaunch(g); err != nil {
					w.note("%s can't start: %v", g.name, err)
					return
				}
				_ = g.awaitReady()
				mu.Lock()
				up[g.name] = true
				mu.Unlock()
			}
		})
	}
	if w.trouble {
		platformDuties.Go(func() {
			for n := range occurrences {
				grey.Store(int64(n % servers))
				w.note("i-llm-%d, one of %d servers, fails %.2f of its requests", n%servers, servers, greyShare)
				time.Sleep(greyFor)
				grey.Store(-1)
				w.note("the server is sound again")
				time.Sleep(calmFor)
			}
		})
	}
	served, cut, all := 0, 0, 0
	every(time.Second/perSecond, end, func(i int) {
		mu.Lock()
		g := w.gateways[i%gateways]
		if !up[g.name] {
			g = w.gateways[(i+1)%gateways]
		}
		mu.Unlock()
		id := fmt.Sprintf("q%07d", i)
		part := fmt.Sprintf("Model: m\r\nToken-Counts: 1460,120\r\nPrompt-Prefix: %x:800,%x:660\r\n", 0xa00+i%190, 0xf0000+i)
		a := w.ask(g, "quote", id, "POST", "/quote/"+id, part, "prompt "+id, 8*time.Second)
		w.note("%s", a)
		mu.Lock()
		defer mu.Unlock()
		all++
		switch {
		case a.err != nil:
			cut++
		case a.status == http.StatusOK && a.body == wholeStream(events):
			served++
		}
	})
	platformDuties.Wait()
	machines := 0
	for _, g := range w.gateways {
		w.say("%s: at most %d kB of anonymous memory, limit %d kB; ended %d times", g.name, peak[g.name], memoryKB, ends[g.name])
		if ends[g.name] >= faultEnds {
			machines++
		}
	}
	w.say("%d requests, %d served, %d without a whole answer", all, served, cut)
	if served < all/4 && !w.trouble {
		return cannotRun, fmt.Errorf("too few requests were served")
	}
	if machines >= faultMachines {
		w.say("Fault: on %d machines processes ended by themselves %d times or more", machines, faultEnds)
		return broken, nil
	}
	w.say("no Fault")
	return held, nil
}

// anonymousKB returns the anonymous memory that a process holds, in kB; 0 if it has ended.
func anonymousKB(pid int) (kb int) {
	data, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range bytes.Lines(data) {
		if rest, ok := bytes.CutPrefix(line, []byte("RssAnon:")); ok {
			_, _ = fmt.Sscan(string(rest), &kb)
		}
	}
	return kb
}
