package tsclaim

// Parameters of the Bloom filters, for a false positive rate of about one in a hundred.
const (
	filterBitsPerEntry = 10
	filterHashes       = 7
)

// Filter is a Bloom filter of call identifiers. It uses double hashing (Kirsch and
// Mitzenmacher, 2006).
type Filter []byte

// NewFilter returns an empty filter sized for n calls.
func NewFilter(n int) Filter {
	return make(Filter, max(1, (n*filterBitsPerEntry+7)/8))
}

// Add adds a call to the filter.
func (f Filter) Add(id ID) {
	h1, h2 := id.hashes()
	for i := range uint64(filterHashes) {
		bit := (h1 + i*h2) % uint64(len(f)*8)
		f[bit/8] |= 1 << (bit % 8)
	}
}

// MayHave reports whether the call may be in the set. A false result is definite.
func (f Filter) MayHave(id ID) bool {
	if len(f) == 0 {
		return false
	}
	h1, h2 := id.hashes()
	for i := range uint64(filterHashes) {
		bit := (h1 + i*h2) % uint64(len(f)*8)
		if f[bit/8]&(1<<(bit%8)) == 0 {
			return false
		}
	}
	return true
}
