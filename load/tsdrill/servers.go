package tsdrill

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	users "turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	apiKey, smallKey = "k1", "k2"
	// prepaid is the client account's budget in tokens, smallPrepaid that of an account that uses it up.
	prepaid         = 100_000_000
	smallPrepaid    = 80_000
	promptTokens    = 100
	maxOutputTokens = 200
	tokensPerEvent  = 5
	streamEvents    = 10
	engineCount     = 8
	deskCount       = 3
	// deadlyPart is the ID of the prompt part that crashes engines.
	deadlyPart = "dead"
	// leaveAfter is how long an engine serves after it began to drain.
	leaveAfter = 3 * time.Second
	// restartDelay is how long a crashed server is down.
	restartDelay = 400 * time.Millisecond
)

// servers are the store and the backend servers of a run.
type servers struct {
	storeAddr string
	store     *tsmetastore.Store
	listener  net.Listener
	desks     []*tsmetastore.Backend

	mu sync.Mutex
	// engines are the engines in service, retired those that a release has replaced.
	engines, retired []*tsmetastore.Backend
	// releases is the number of engines that were replaced.
	releases int
	// version is the version of the routing table. extraRoutes holds when the store
	// accepted each route that was added.
	version     int
	extraRoutes []time.Time
}

func startServers() (*servers, error) {
	s := &servers{store: tsmetastore.New()}
	var err error
	if s.listener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		return nil, err
	}
	s.storeAddr = s.listener.Addr().String()
	go func() {
		srv := &http.Server{Handler: s.store, ReadHeaderTimeout: time.Minute}
		_ = srv.Serve(s.listener)
	}()
	for n := range engineCount {
		b, err := s.start(engineID(n, 0), "pool", softwareVersion(0), streamEvents, engineEventPause(n))
		if err != nil {
			return nil, err
		}
		s.engines = append(s.engines, b)
	}
	for n := range deskCount {
		b, err := s.start(fmt.Sprint("desk-", n), "desk", "", 0, 0)
		if err != nil {
			return nil, err
		}
		s.desks = append(s.desks, b)
	}
	s.putTable(0)
	return s, nil
}

// start starts a server that is back after a crash, and lists it.
func (s *servers) start(id, service, software string, events int, eventPause time.Duration) (*tsmetastore.Backend, error) {
	b := &tsmetastore.Backend{ID: id, Software: software, Events: events, Pause: eventPause, CrashPart: deadlyPart, RestartAfter: restartDelay, OnRestart: func(b *tsmetastore.Backend) {
		if !s.isRetired(b) {
			s.list(b, service, "ready")
		}
	}}
	if err := b.Start(); err != nil {
		return nil, err
	}
	s.list(b, service, "ready")
	return b, nil
}

// list writes a server's entry to the store.
func (s *servers) list(b *tsmetastore.Backend, service, state string) {
	s.store.Put(users.ServerPrefix+b.ID, b.Entry(service, "a", state))
}

// engineID returns the ID of the nth engine after it was replaced the given number of times.
func engineID(n, replaced int) string { return fmt.Sprintf("engine-%d-%d", n, replaced) }

// softwareVersion returns the version of engines that were replaced the given number of times.
func softwareVersion(replaced int) string { return fmt.Sprint("v", replaced+1) }

// engineEventPause returns the time between events. The streams of some engines last until late in a
// grace period.
func engineEventPause(n int) time.Duration { return time.Duration(10+30*n) * time.Millisecond }

// isRetired reports whether a release has replaced the engine.
func (s *servers) isRetired(b *tsmetastore.Backend) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Contains(s.retired, b)
}

// release replaces the next engine by one of the next software version. The old one drains, and leaves
// when its streams have ended.
func (s *servers) release() error {
	s.mu.Lock()
	n, replaced := s.releases%engineCount, s.releases/engineCount+1
	s.mu.Unlock()
	b, err := s.start(engineID(n, replaced), "pool", softwareVersion(replaced), streamEvents, engineEventPause(n))
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.engines[n]
	s.engines[n] = b
	s.retired = append(s.retired, old)
	s.releases++
	s.list(old, "pool", "draining")
	time.AfterFunc(leaveAfter, func() { s.store.Remove(users.ServerPrefix + old.ID) })
	return nil
}

// all returns the backend servers that are in service or were.
func (s *servers) all() []*tsmetastore.Backend {
	return slices.Concat(s.inService(), s.allEngines()[engineCount:])
}

// inService returns the backend servers in service.
func (s *servers) inService() []*tsmetastore.Backend {
	return slices.Concat(s.allEngines()[:engineCount], s.desks)
}

// allEngines returns the engines in service and then the retired ones.
func (s *servers) allEngines() []*tsmetastore.Backend {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Concat(s.engines, s.retired)
}

// close ends the store and the servers.
func (s *servers) close() {
	_ = s.listener.Close()
	for _, b := range s.all() {
		_ = b.Close()
	}
}

// addRoute adds a route to the routing table.
func (s *servers) addRoute() {
	s.mu.Lock()
	n := len(s.extraRoutes) + 1
	s.mu.Unlock()
	s.putTable(n)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.extraRoutes = append(s.extraRoutes, time.Now())
}

// newestRoute returns the path of the newest route that must be in force by now.
func (s *servers) newestRoute(now time.Time) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := len(s.extraRoutes); i > 0; i-- {
		if now.Sub(s.extraRoutes[i-1]) > applyTimeout {
			return fmt.Sprintf("/extra-%d/1", i)
		}
	}
	return "/look/1"
}

// putTable writes a routing table with the given number of extra routes.
func (s *servers) putTable(extra int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version += 2
	routes := []string{
		`{"name":"quote","host":"corner.example","prefix":"/quote/","kind":"streaming","service":"pool","timeoutMs":6000,"targetLatencyMs":1000,"gapTargetMs":600,"maxAttempts":2,"resumable":true,"stickySessions":true}`,
		`{"name":"once","host":"corner.example","prefix":"/once/","kind":"streaming","service":"pool","timeoutMs":6000,"maxAttempts":1,"stickySessions":true}`,
		`{"name":"book","host":"corner.example","prefix":"/book/","kind":"unsafe","service":"desk","timeoutMs":1500,"maxAttempts":1}`,
		`{"name":"look","host":"corner.example","prefix":"/look/","kind":"safe","service":"desk","timeoutMs":2000,"targetLatencyMs":200,"maxAttempts":2}`,
	}
	for i := range extra {
		routes = append(routes, fmt.Sprintf(`{"name":"extra-%[1]d","host":"corner.example","prefix":"/extra-%[1]d/","kind":"safe","service":"desk","timeoutMs":2000,"targetLatencyMs":200,"maxAttempts":2}`, i+1))
	}
	s.store.Put(users.TableKey, fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"pool","maxConnections":2000,"engine":{"stride":%d}},{"name":"desk","maxConnections":2000}],
 "limits":{"maxHeaderBytes":4000,"maxBodyBytes":1000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
 "tenants":[{"name":"stall","apiKeys":["%s"],"prepaid":%d},{"name":"kiosk","apiKeys":["%s"],"prepaid":%d}]}`,
		s.version, strings.Join(routes, ","), tokensPerEvent, apiKey, prepaid, smallKey, smallPrepaid))
}

// runs returns how often the servers ran the request with the given id.
func (s *servers) runs(id string) int {
	n := 0
	for _, b := range s.all() {
		ofID, _ := b.Runs(id)
		n += ofID
	}
	return n
}
