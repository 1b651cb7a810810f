package tssoak

import (
	"time"

	"turmericshed"
)

// service is a plain service with a server in each failure domain.
type service struct {
	w *world
	// servers tells which are down.
	servers []bool
	// lost, held and crash count the next calls whose answer is lost, that
	// run late, and that crash their server before or after they ran.
	lost, held, crash int
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
	if s.servers[server] {
		return
	}
	if take(&s.held) {
		s.w.at(s.w.between(time.Second, 90*time.Second), func() { s.w.books.run(r.runKey()) })
		return
	}
	if take(&s.crash) {
		s.w.logf("service server %d crashes on %s", server, r.key)
		s.servers[server] = true
		s.w.at(10*time.Second, func() { s.servers[server] = false })
		if s.w.chance(0.5) {
			s.w.books.run(r.runKey())
		}
		return
	}
	s.w.books.run(r.runKey())
	if take(&s.lost) {
		return
	}
	s.w.at(s.w.between(time.Millisecond, 200*time.Millisecond), func() {
		answer(turmericshed.Answer{Status: 201, Body: []byte(r.runKey())})
	})
}

// lookup tells whether a call ran, as far as the VM can ask.
func (s *service) lookup(v *vm, key string) (turmericshed.Answer, bool) {
	for server, down := range s.servers {
		at := domainA + place(server)
		if down || !s.w.net.ok(v.at, at) || !s.w.net.ok(at, v.at) {
			continue
		}
		if s.w.books.runs[key] == 0 {
			return turmericshed.Answer{}, false
		}
		return turmericshed.Answer{Status: 201, Body: []byte(key)}, true
	}
	return turmericshed.Answer{}, false
}
