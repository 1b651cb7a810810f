package tssoak

import (
	"time"

	"turmericshed"
)

// service is a fake plain service with one server in each failure domain.
type service struct {
	w *world
	// down holds, for each server, whether it is down.
	down []bool
	// loseAnswerNext counts the upcoming calls whose answer is lost, holdNext those
	// that run late and unanswered, and crashNext those that crash their server
	// before or after they run.
	loseAnswerNext, holdNext, crashNext int
}

// run executes a call on one server and passes the answer to answer, unless a
// fault suppresses it.
func (s *service) run(server int, r *request, answer func(a turmericshed.Answer)) {
	consumeFault := func(n *int) bool {
		if *n <= 0 {
			return false
		}
		*n--
		return true
	}
	if s.down[server] {
		return
	}
	if consumeFault(&s.holdNext) {
		s.w.schedule(s.w.between(time.Second, 90*time.Second), func() { s.w.books.recordRun(r.runKey()) })
		return
	}
	if consumeFault(&s.crashNext) {
		s.w.logf("service server %d crashes on %s", server, r.key)
		s.down[server] = true
		s.w.schedule(10*time.Second, func() { s.down[server] = false })
		if s.w.chance(0.5) {
			s.w.books.recordRun(r.runKey())
		}
		return
	}
	s.w.books.recordRun(r.runKey())
	if consumeFault(&s.loseAnswerNext) {
		return
	}
	s.w.schedule(s.w.between(time.Millisecond, 200*time.Millisecond), func() {
		answer(turmericshed.Answer{Status: 201, Body: []byte(r.runKey())})
	})
}

// lookup queries the first server that the VM can reach for the answer of a
// call. It reports false when the call has not run or no server is reachable.
func (s *service) lookup(v *vm, key string) (turmericshed.Answer, bool) {
	for server, down := range s.down {
		serverLocation := domainA + location(server)
		if down || !s.w.network.connected(v.location, serverLocation) || !s.w.network.connected(serverLocation, v.location) {
			continue
		}
		if s.w.books.callRuns[key] == 0 {
			return turmericshed.Answer{}, false
		}
		return turmericshed.Answer{Status: 201, Body: []byte(key)}, true
	}
	return turmericshed.Answer{}, false
}
