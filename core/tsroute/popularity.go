package tsroute

const (
	// popularityWindow is the number of requests after which counts halve.
	popularityWindow = 1000
	// popularityMinTotal is the number of requests that shares are taken of while
	// fewer were seen.
	popularityMinTotal = 250
	// popularityMinCount is the count below which a prefix is forgotten.
	popularityMinCount = 0.5
	// defaultHomes is the number of servers that any prefix may be cached at.
	defaultHomes = 2
	// homeSpreadFactor is how many times its share of the servers a prefix gets.
	homeSpreadFactor = 3
)

// popularity counts how often each prefix was asked for lately. It holds at
// most about two windows of prefixes.
type popularity struct {
	count map[uint64]float64
	sum   float64
}

// homeCount counts one request for the prefix and returns the number of servers,
// of n, that it is to be spread over, at least least.
func (p *popularity) homeCount(prefix uint64, n, least int) int {
	if p.count == nil {
		p.count = map[uint64]float64{}
	}
	if p.sum >= popularityWindow {
		p.decay()
	}
	p.count[prefix]++
	p.sum++
	return least + int(homeSpreadFactor*float64(n)*p.count[prefix]/max(p.sum, popularityMinTotal))
}

// decay halves the counts.
func (p *popularity) decay() {
	p.sum = 0
	for k, v := range p.count {
		if v < popularityMinCount {
			delete(p.count, k)
			continue
		}
		p.count[k] = v / 2
		p.sum += v / 2
	}
}
