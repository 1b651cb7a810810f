package tsversion

import (
	"time"

	lru "github.com/hashicorp/golang-lru/v2"

	"turmericshed"
)

// maxStreams bounds the streams that a Streams holds; the ones that were used least recently go first.
const maxStreams = 1 << 14

// ownStream is a stream that began at this entry VM and may still be resumed.
type ownStream struct {
	turmericshed.StreamBeginning
	// isAmbiguous is true if more than the version has to be known of the beginning.
	isAmbiguous bool
	isShared    bool
}

// Streams holds the beginnings of streams. Others need to know of those that began here while their
// service is mixed. It is not safe for concurrent use.
type Streams struct {
	streams *lru.Cache[turmericshed.RequestID, turmericshed.StreamBeginning]
	own     map[turmericshed.RequestID]*ownStream
}

// NewStreams returns a Streams without streams.
func NewStreams() *Streams {
	cache, err := lru.New[turmericshed.RequestID, turmericshed.StreamBeginning](maxStreams)
	turmericshed.Assert(err == nil, "cache_size_valid", "%v", err)
	return &Streams{streams: cache, own: make(map[turmericshed.RequestID]*ownStream)}
}

// Begin records a stream that began at this entry VM. isAmbiguous is true if more than the version
// has to be known of its beginning.
func (s *Streams) Begin(b turmericshed.StreamBeginning, isAmbiguous bool) {
	s.streams.Add(b.Request, b)
	s.own[b.Request] = &ownStream{StreamBeginning: b, isAmbiguous: isAmbiguous}
}

// End records that a stream was relayed to its end, so that others need not know of it any more. It
// may still be resumed, if the end was lost on its way to the caller.
func (s *Streams) End(id turmericshed.RequestID) { delete(s.own, id) }

// Put records a stream of which another entry VM told. A stream that is known already keeps its
// beginning.
func (s *Streams) Put(b turmericshed.StreamBeginning) {
	if _, known := s.streams.Get(b.Request); !known {
		s.streams.Add(b.Request, b)
	}
}

// Get returns the beginning of a stream that may still be resumed.
func (s *Streams) Get(now time.Time, id turmericshed.RequestID) (turmericshed.StreamBeginning, bool) {
	b, ok := s.streams.Get(id)
	if ok && !now.Before(b.Until) {
		s.streams.Remove(id)
		ok = false
	}
	return b, ok
}

// TakeUnshared returns the streams that others need to know of and that were not returned before.
func (s *Streams) TakeUnshared(now time.Time, isMixed func(service string) bool) (list []turmericshed.StreamBeginning) {
	s.eachNeeded(now, isMixed, func(o *ownStream) {
		if !o.isShared {
			o.isShared = true
			list = append(list, o.StreamBeginning)
		}
	})
	return list
}

// Needed returns the streams that others need to know of.
func (s *Streams) Needed(now time.Time, isMixed func(service string) bool) (list []turmericshed.StreamBeginning) {
	s.eachNeeded(now, isMixed, func(o *ownStream) { list = append(list, o.StreamBeginning) })
	return list
}

// eachNeeded calls f for each stream that others need to know of, and forgets those that can't be
// resumed any more.
func (s *Streams) eachNeeded(now time.Time, isMixed func(service string) bool, f func(o *ownStream)) {
	mixed := make(map[string]bool)
	for id, o := range s.own {
		if !now.Before(o.Until) {
			delete(s.own, id)
			continue
		}
		m, known := mixed[o.Service]
		if !known {
			m = isMixed(o.Service)
			mixed[o.Service] = m
		}
		if m || o.isAmbiguous {
			f(o)
		}
	}
}
