package tsadmit_test

import (
	"fmt"
	"testing"
	"time"
)

func burst(from, to time.Duration, factor float64) func(time.Duration) float64 {
	return func(t time.Duration) float64 {
		if t >= from && t < to {
			return factor
		}
		return 1
	}
}

func simMix(f func(time.Duration) float64, scale float64) []simKind {
	return []simKind{
		{name: "urgent", class: 0, prompt: 9190, cached: 7000, output: 51, objective: 800 * time.Millisecond, limit: 8 * time.Second, account: "a", rate: 60 * scale, factor: f},
		{name: "middle", class: 1, prompt: 4000, cached: 2000, output: 80, objective: time.Second, limit: 8 * time.Second, account: "b", rate: 60 * scale, factor: f},
		{name: "large", class: 2, prompt: 17020, cached: 13300, output: 120, objective: 2 * time.Second, limit: 15 * time.Second, account: "c", rate: 60 * scale, factor: f},
	}
}

func TestTrial(t *testing.T) {
	for _, c := range []struct {
		name string
		cfg  simConfig
	}{
		{"burst 1.7 prefill", simConfig{vms: 40, servers: 12, slots: 16, memory: 486250, maxQueue: 1000, length: 16 * time.Second, kinds: simMix(burst(6*time.Second, 9*time.Second, 1.7*1.2), 1.2)}},
		{"burst 2.5 6s", simConfig{vms: 40, servers: 12, slots: 16, memory: 486250, maxQueue: 1000, length: 20 * time.Second, kinds: simMix(burst(6*time.Second, 12*time.Second, 2.5), 1.2)}},
		{"quiet", simConfig{vms: 40, servers: 12, slots: 16, memory: 486250, maxQueue: 1000, length: 20 * time.Second, kinds: simMix(nil, 1)}},
	} {
		for _, share := range []bool{false, true} {
			for _, on := range []bool{false, true} {
				c.cfg.admission, c.cfg.share, c.cfg.seed = on, share, 1
				r := runSim(c.cfg)
				fmt.Printf("%-20s share=%v on=%v offered=%d served=%d inTime=%d refusals=%d byKind=", c.name, share, on, r.offeredTotal(), r.servedTotal(), r.inTimeTotal(), r.refusals)
				for k := range r.offered {
					fmt.Printf(" %.2f/%.2f", r.ratio(k), r.servedRatio(k))
				}
				fmt.Println(" maxRA", r.maxRetryAfter, "crash", r.crashes, r.reasons)
			}
		}
	}
}
