package tsroute_test

import (
	"fmt"
	"testing"
	"time"
)

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{12, 514} {
		b.Run(fmt.Sprintf("candidates=%d", n), func(b *testing.B) {
			r, now := newRouter(1, servers(1, n)), epoch
			for i := uint64(0); b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				s, err := r.Pick(now, prefixed(i%300))
				if err != nil {
					b.Fatal(err)
				}
				r.Done(now, s.ID, prefixed(i%300), success)
			}
		})
	}
}
