package tsroute

const (
	// popularityWindow is the number of requests after which the counts are
	// halved.
	popularityWindowRequests = 1000
	// popularityMinTotal is the minimum total that a prefix's share is computed
	// from, so that a few early requests do not make a prefix look popular.
	popularityMinTotal = 250
	// popularityMinCount is the count below which a prefix is removed.
	popularityMinCount = 0.5
	// defaultHomes is the default number of homes of a prefix.
	defaultHomes = 2
	// homeSpreadFactor scales a prefix's share of the requests to its
	// additional share of the servers.
	homeSpreadFactor = 3
)

// popularity counts recent requests for each prefix. It holds at most about two
// windows of prefixes.
type popularity struct {
	count map[uint64]float64
	sum   float64
}

// homeCount counts one request for the prefix and returns the number of homes
// for it among n servers, at least least.
func (p *popularity) homeCount(prefix uint64, n, least int) int {
	if p.count == nil {
		p.count = map[uint64]float64{}
	}
	if p.sum >= popularityWindowRequests {
		p.decay()
	}
	p.count[prefix]++
	p.sum++
	return least + int(homeSpreadFactor*float64(n)*p.count[prefix]/max(p.sum, popularityMinTotal))
}

// decay halves the counts and removes rare prefixes.
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
