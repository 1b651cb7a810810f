package tsbudget_test

import (
	"cmp"
	"math"
	"slices"
	"time"

	"turmericshed"
)

// unspentAt is what is left of each account when a partition begins.
type unspentAt map[turmericshed.BudgetID]float64

// partitionArrivals returns the arrivals from begin to end, by account.
func partitionArrivals(arrivals []arrival, begin, end time.Duration) map[turmericshed.BudgetID][]arrival {
	list := map[turmericshed.BudgetID][]arrival{}
	for _, a := range arrivals {
		if a.at >= begin && a.at < end {
			list[budgetID(a.account)] = append(list[budgetID(a.account)], a)
		}
	}
	return list
}

// The family of placements that know the past: in proportion to what each entry VM has received,
// with a decay, plus a prior in requests.
var (
	boundPriors  = []float64{0.25, 0.5, 1, 2, 4}
	boundWindows = []time.Duration{8 * time.Second, 20 * time.Second, time.Hour}
)

// boundOfPast returns the requests of a partition that the best placement of the family covers, if
// it places all that is left when the partition begins.
func boundOfPast(rec recording, arrivals []arrival, unspent unspentAt, p [2]time.Duration) (best int) {
	requests := partitionArrivals(arrivals, p[0], p[1])
	for _, window := range boundWindows {
		received, size := receivedBefore(rec, arrivals, p[0], window)
		for _, prior := range boundPriors {
			covered := 0
			for id, list := range requests {
				covered += coveredBy(list, weights(received[id], prior*size), unspent[id])
			}
			best = max(best, covered)
		}
	}
	return best
}

// receivedBefore returns what each entry VM has received of each account, with exponential decay,
// and the mean size of a request.
func receivedBefore(rec recording, arrivals []arrival, begin, window time.Duration) (received map[turmericshed.BudgetID][]float64, size float64) {
	received = map[turmericshed.BudgetID][]float64{}
	for _, a := range arrivals {
		if received[budgetID(a.account)] == nil {
			received[budgetID(a.account)] = make([]float64, rec.vms)
		}
		if a.at < begin {
			received[budgetID(a.account)][a.vm] += float64(a.most) * math.Exp(-float64(begin-a.at)/float64(window))
		}
		size += float64(a.most) / float64(len(arrivals))
	}
	return received, size
}

func weights(received []float64, prior float64) []float64 {
	w, sum := make([]float64, len(received)), 0.0
	for _, n := range received {
		sum += n + prior
	}
	for i, n := range received {
		w[i] = (n + prior) / sum
	}
	return w
}

// coveredBy returns the number of requests that find their tokens at their entry VM. Tokens that
// are reserved but not billed come back after requestLength.
func coveredBy(list []arrival, w []float64, unspent float64) (covered int) {
	type back struct {
		at time.Duration
		vm int
		n  float64
	}
	held := make([]float64, len(w))
	for i := range held {
		held[i] = w[i] * unspent
	}
	var backs []back
	for _, a := range list {
		for len(backs) > 0 && backs[0].at <= a.at {
			held[backs[0].vm] += backs[0].n
			backs = backs[1:]
		}
		if held[a.vm] < float64(a.most) {
			continue
		}
		held[a.vm] -= float64(a.most)
		backs = append(backs, back{at: a.at + requestLength, vm: a.vm, n: float64(a.most - min(a.billed, a.most))})
		covered++
	}
	return covered
}

// boundOfFuture returns the requests of a partition that can be covered at all: of each account the
// cheapest ones until its tokens are spent.
func boundOfFuture(arrivals []arrival, unspent unspentAt, p [2]time.Duration) (covered int) {
	for id, list := range partitionArrivals(arrivals, p[0], p[1]) {
		slices.SortFunc(list, func(a, b arrival) int { return cmp.Compare(a.billed, b.billed) })
		left := unspent[id]
		for _, a := range list {
			if left -= float64(a.billed); left < 0 {
				break
			}
			covered++
		}
	}
	return covered
}
