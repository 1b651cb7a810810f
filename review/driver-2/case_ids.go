//go:build review2

package main

import (
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func init() { cases["ids"] = runIDs }

const (
	idsMachines = 2
	// idsMemoryMB is the memory of a machine, as in the sheet of payungbaik-annex.
	idsMemoryMB  = 134
	idsPerSecond = 1000
	idsLength    = 85 * time.Second
	// idsBytes is the length of the ids of client attempts; the headers stay below idsHeaderBytes, the
	// maxHeaderBytes of the example that fleetbench wire prints.
	idsBytes       = 15_600
	idsHeaderBytes = 16_384
	// idsEnds is how often processes end on at least idsFaulty machines in a day that counts 0.
	idsEnds    = 3
	idsFaulty  = 2
	idsRestart = 500 * time.Millisecond
	// idsAtOnce bounds the requests that wait for their answers.
	idsAtOnce = 256
)

// rss returns the resident memory of a process in bytes.
func rss(pid int) int64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(data), "\n") {
		if v, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseInt(strings.Fields(v)[0], 10, 64)
			return kb << 10
		}
	}
	return 0
}

// watchMemory kills the process of a machine when it exceeds the memory, and starts it again, as the
// platform does. It returns how often that was.
func (m *machine) watchMemory(stop <-chan struct{}) (ends int) {
	t := time.NewTicker(50 * time.Millisecond)
	defer t.Stop()
	for n := 0; ; n++ {
		select {
		case <-stop:
			return ends
		case <-t.C:
		}
		m.mu.Lock()
		pid := m.cmd.Process.Pid
		m.mu.Unlock()
		b := rss(pid)
		if n%40 == 0 {
			m.w.rec.add("machine %s: resident memory %d bytes", m.name, b)
		}
		if b <= int64(m.w.memoryMB)*1e6 {
			continue
		}
		ends++
		m.w.rec.add("machine %s: resident memory %d bytes exceeds %d MB, the platform kills the process; end %d", m.name, b, m.w.memoryMB, ends)
		m.kill()
		time.Sleep(idsRestart)
		if err := m.start(); err != nil {
			m.w.rec.add("machine %s is not back: %v", m.name, err)
			return ends
		}
	}
}

// runIDs sends short streams, with long ids.
func runIDs(w *world, trouble bool) (bool, error) {
	w.memoryMB = idsMemoryMB
	e := newEngine(2, time.Millisecond)
	e.quiet = true
	for i := range 6 {
		if _, err := w.startServer(fmt.Sprintf("i-%d", i), "assistant-llm", "eu-north-"+string("abc"[i%3]), "v1", 128, e.handle); err != nil {
			return false, err
		}
	}
	config := streamConfig("assistant-llm", 1_000_000_000, 2)
	config["limits"].(map[string]any)["maxHeaderBytes"] = idsHeaderBytes
	w.putConfig(config)
	if err := w.startMachines(idsMachines); err != nil {
		return false, err
	}
	stop := make(chan struct{})
	ends := make([]int, len(w.machines))
	var watchers, clients sync.WaitGroup
	for i, m := range w.machines {
		watchers.Go(func() { ends[i] = m.watchMemory(stop) })
	}
	var mu sync.Mutex
	byStatus := map[int]int{}
	room := make(chan struct{}, idsAtOnce)
	tick := time.NewTicker(time.Second / idsPerSecond)
	defer tick.Stop()
	for began := time.Now(); time.Since(began) < idsLength; {
		<-tick.C
		m, id := w.pick(), newID()
		if trouble {
			id += strings.Repeat("0", idsBytes-len(id))
		}
		room <- struct{}{}
		clients.Go(func() {
			got := m.send(ask{id: id, path: "/lohu930/2f", body: "prompt", timeLimit: 8 * time.Second, header: map[string]string{
				"Model": "m", "Token-Counts": "10,10", "Prompt-Prefix": "5c1e07a2:5," + id[:8] + ":5",
			}})
			<-room
			mu.Lock()
			defer mu.Unlock()
			byStatus[got.status]++
		})
	}
	clients.Wait()
	close(stop)
	watchers.Wait()
	faulty := 0
	for _, n := range ends {
		if n >= idsEnds {
			faulty++
		}
	}
	text := fmt.Sprintf("processes that exceeded %d MB, by machine: %v; answers by status %v", w.memoryMB, ends, byStatus)
	w.rec.add("%s", text)
	fmt.Println(text)
	if byStatus[http.StatusOK] == 0 {
		return false, fmt.Errorf("%w: nothing was served", errNotRun)
	}
	return faulty >= idsFaulty, nil
}
