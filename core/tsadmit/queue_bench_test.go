package tsadmit_test

import (
	"fmt"
	"testing"
	"time"

	"turmericshed"
	"turmericshed/core/tsadmit"
)

func BenchmarkAdmit(b *testing.B) {
	for _, n := range []int{10, 1700} {
		b.Run(fmt.Sprintf("accounts=%d", n), func(b *testing.B) {
			q, now := tsadmit.New(tsadmit.Config{}), epoch
			accounts := make([]turmericshed.AdmitRequest, n)
			for i := range accounts {
				accounts[i] = request(fmt.Sprint(i), 0)
			}
			for i := 0; b.Loop(); i++ {
				now = now.Add(time.Millisecond)
				t := tsadmit.Ticket(i + 1)
				q.Offer(now, t, accounts[i%n])
				q.Release(now, t)
			}
		})
	}
}
