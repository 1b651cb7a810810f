package tsadmit_test

import (
	"fmt"
	"testing"
	"time"
)

func TestTrial(t *testing.T) {
	for _, vms := range []int{10, 40} {
		for _, rate := range []float64{200, 230, 260} {
			for _, small := range []float64{0, 300} {
				line := ""
				for _, share := range []bool{false, true} {
					for _, on := range []bool{false, true} {
						var in, over, ref, off int
						for seed := uint64(1); seed <= 3; seed++ {
							k := largeKind(rate, nil)
							k.cached = 16500
							s := middleKind(small, nil)
							s.class = 2
							s.prompt = 400
							s.cached = 200
							s.output = 100
							cfg := simBase(k, s)
							cfg.vms = vms
							cfg.slots, cfg.crashesOverMemory, cfg.seed, cfg.share, cfg.admission = 128, true, seed, share, on
							cfg.length = 10 * time.Second
							r := runSim(cfg)
							in += r.inTimeTotal()
							over += r.overMemory
							ref += r.refusals
							off += r.offeredTotal()
						}
						line += fmt.Sprintf(" | sh=%v on=%v %.3f crashes %d ref %d", share, on, float64(in)/float64(off), over, ref)
					}
				}
				fmt.Println(vms, rate, small, line)
			}
		}
	}
}
