package tssoak

import (
	"time"

	"turmericshed"
)

// service is a plain service with a server in each failure domain.
type service struct {
	w *world
	// servers tells which are down.
	down []bool
	// lost, held and crash count the next calls whose answer is lost, that
	// run late, and that crash their server before or after they ran.
	loseAnswerNext, holdNext, crashNext int
}

// run carries a call out and answers.
func (s *service) run(server int, r *request, answer func(a turmericshed.Answer)) {
	take := func(n *int) bool {
		if *n <= 0 {
			return false
		}
		*n--
		return true
	}
	if s.down[server] {
		return
	}
	if take(&s.holdNext) {
		s.w.schedule(s.w.between(time.Second, 90*time.Second), func() { s.w.books.recordRun(r.runKey()) })
		return
	}
	if take(&s.crashNext) {
		s.w.logf("service server %d crashes on %s", server, r.key)
		s.down[server] = true
		s.w.schedule(10*time.Second, func() { s.down[server] = false })
		if s.w.chance(0.5) {
			s.w.books.recordRun(r.runKey())
		}
		return
	}
	s.w.books.recordRun(r.runKey())
	if take(&s.loseAnswerNext) {
		return
	}
	s.w.schedule(s.w.between(time.Millisecond, 200*time.Millisecond), func() {
		answer(turmericshed.Answer{Status: 201, Body: []byte(r.runKey())})
	})
}

// lookup tells whether a call ran, as far as the VM can ask.
func (s *service) lookup(v *vm, key string) (turmericshed.Answer, bool) {
	for server, down := range s.down {
		at := domainA + location(server)
		if down || !s.w.network.connected(v.location, at) || !s.w.network.connected(at, v.location) {
			continue
		}
		if s.w.books.callRuns[key] == 0 {
			return turmericshed.Answer{}, false
		}
		return turmericshed.Answer{Status: 201, Body: []byte(key)}, true
	}
	return turmericshed.Answer{}, false
}
