package tsgateway_test

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	// versionEventPause is the time between events, so that a stream lasts almost a second.
	versionEventPause = 120 * time.Millisecond
	// streamCount is the number of streams that are interrupted together.
	streamCount = 16
)

// versionRig is a rig whose engines have software versions, by id.
type versionRig struct {
	*rig
	software map[string]string
	// pause is the time between events.
	pause time.Duration
}

// newVersionRig replaces the engines of a rig by two of each software version.
func newVersionRig(t *testing.T, versions ...string) *versionRig {
	t.Helper()
	return newSlowVersionRig(t, versionEventPause, versions...)
}

// newSlowVersionRig is newVersionRig with another time between events.
func newSlowVersionRig(t *testing.T, pause time.Duration, versions ...string) *versionRig {
	t.Helper()
	r := &versionRig{rig: newRig(t, 10_000_000), software: map[string]string{}, pause: pause}
	for _, e := range r.engines {
		r.store.Remove(platform.ServerPrefix + e.ID)
	}
	for _, v := range versions {
		for i := range 2 {
			r.startVersion(fmt.Sprint("engine-", v, "-", i), v)
		}
	}
	return r
}

func (r *versionRig) startVersion(id, software string) {
	r.t.Helper()
	b := &tsmetastore.Backend{ID: id, Software: software, Events: eventsPerStream, Pause: r.pause}
	assert.NilError(r.t, b.Start())
	r.t.Cleanup(func() { _ = b.Close() })
	r.software[id] = software
	r.putBackend(b, "pool")
}

// waitForVersions waits until streams of the entry VM begin at all versions.
func (r *versionRig) waitForVersions(vm *entryVM, n int) {
	r.t.Helper()
	r.eventually("streams begin at all versions", func() bool {
		seen := map[string]bool{}
		streams := r.begin(vm, streamCount, 0)
		closeAll(streams)
		for _, s := range streams {
			seen[s.software] = true
		}
		delete(seen, "")
		return len(seen) == n
	})
}

// versionStream is a stream that a caller has begun to read.
type versionStream struct {
	id string
	// software is the version of the server that began the answer; empty without a stream.
	software string
	status   int
	events   int
	// retryAfter is the answer's Retry-After header.
	retryAfter string
	body       io.ReadCloser
	r          *bufio.Reader
	// err is why the answer is incomplete.
	err error
}

// begin sends requests at once, and reads the given number of events of each answer.
func (r *versionRig) begin(vm *entryVM, n, events int) []*versionStream {
	return r.sendAll(vm, make([]*versionStream, n), events)
}

// beginAll is begin for streams that are all served: an entry VM under load may reject some requests, and then
// all are sent again, so that the streams begin together.
func (r *versionRig) beginAll(vm *entryVM, n, events int) (streams []*versionStream) {
	r.t.Helper()
	r.eventually("all streams begin", func() bool {
		streams = r.begin(vm, n, events)
		for _, s := range streams {
			if s.status != http.StatusOK || s.err != nil {
				closeAll(streams)
				return false
			}
		}
		return true
	})
	return streams
}

func closeAll(streams []*versionStream) {
	for _, s := range streams {
		_ = s.body.Close()
	}
}

// resume resumes interrupted streams at an entry VM, and reads them to their end.
func (r *versionRig) resume(vm *entryVM, broken []*versionStream) []*versionStream {
	return r.sendAll(vm, broken, eventsPerStream)
}

// sendAll sends a request for each entry of from, which is the stream to resume, or nil.
func (r *versionRig) sendAll(vm *entryVM, from []*versionStream, events int) []*versionStream {
	streams := make([]*versionStream, len(from))
	var requests sync.WaitGroup
	for i, f := range from {
		requests.Go(func() { streams[i] = r.send(vm, f, events) })
	}
	requests.Wait()
	return streams
}

func (r *versionRig) send(vm *entryVM, from *versionStream, events int) *versionStream {
	s := &versionStream{id: turmericshed.NewID("a-")}
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, "http://"+vm.gateway.CallerAddr().String()+"/quote/1", strings.NewReader("prompt"))
	assert.Check(r.t, err)
	req.Host = "corner.example"
	for name, value := range map[string]string{
		"Attempt-Id": s.id, "Credential": apiKey, "Deadline-Remaining": "8000", "Model": "m",
		"Token-Counts": fmt.Sprintf("%d,%d", promptTokens, outputTokens), "Prompt-Prefix": s.id + ":60," + s.id + "b:40",
	} {
		req.Header.Set(name, value)
	}
	if from != nil {
		s.events = from.events
		req.Header.Set("Resumes", from.id)
		req.Header.Set("Last-Event-Id", fmt.Sprint(from.events))
	}
	client := &http.Transport{DisableKeepAlives: true}
	resp, err := client.RoundTrip(req)
	if err != nil {
		s.err, s.body = err, io.NopCloser(strings.NewReader(""))
		return s
	}
	s.status, s.software, s.body, s.r = resp.StatusCode, r.software[resp.Header.Get("Response-Stamp")], resp.Body, bufio.NewReader(resp.Body)
	s.retryAfter = resp.Header.Get("Retry-After")
	if s.status == http.StatusOK {
		s.read(events)
	}
	return s
}

// read reads up to the event with the number, or to the end of the answer.
func (s *versionStream) read(upTo int) {
	for s.events < upTo {
		line, err := s.r.ReadString('\n')
		if err != nil {
			s.err = err
			return
		}
		if line == "\n" {
			s.events++
		}
	}
}

// assertGoOn checks that resumed streams went on at the version that began them, or were refused with
// a promise that they did not run, and that at least least of them went on.
func assertGoOn(t *testing.T, begun, resumed []*versionStream, least int) {
	t.Helper()
	wentOn := 0
	for i, s := range resumed {
		switch s.status {
		case http.StatusOK:
			wentOn++
			assert.Check(t, s.err)
			assert.Check(t, s.software == begun[i].software, "stream %d went on at %s after %s", i, s.software, begun[i].software)
		default:
			assert.Check(t, s.status == http.StatusServiceUnavailable, "status %d, %v", s.status, s.err)
		}
	}
	t.Logf("%d of %d streams went on", wentOn, len(resumed))
	assert.Check(t, wentOn >= least, "%d of %d streams went on", wentOn, len(resumed))
}

// Guards against a stream that its caller resumes at another entry VM, and that goes on there at
// another software version than the one that began it.
func TestStreamsJoinTwoSoftwareVersions(t *testing.T) {
	t.Run("at another entry VM", func(t *testing.T) {
		r := newVersionRig(t, "v1", "v2")
		second := r.start("vm-2")
		r.waitForVersions(r.entryVM, 2)
		r.waitForVersions(second, 2)
		streams := r.beginAll(r.entryVM, streamCount, 3)
		r.kill()
		assertGoOn(t, streams, r.resume(second, streams), streamCount)
	})
	t.Run("after all entry VMs were killed", func(t *testing.T) {
		r := newVersionRig(t, "v1", "v2")
		second := r.start("vm-2")
		r.waitForVersions(r.entryVM, 2)
		r.waitForVersions(second, 2)
		streams := append(r.beginAll(r.entryVM, streamCount, 4), r.beginAll(second, streamCount, 4)...)
		r.kill()
		second.kill()
		assertGoOn(t, streams, r.resume(r.start("vm-1"), streams), streamCount)
	})
	t.Run("after the version that began them has left", func(t *testing.T) {
		r := newVersionRig(t, "v1")
		r.waitForVersions(r.entryVM, 1)
		streams := r.beginAll(r.entryVM, streamCount, 3)
		for id := range r.software {
			r.store.Remove(platform.ServerPrefix + id)
		}
		r.startVersion("engine-v2", "v2")
		r.kill()
		assertGoOn(t, streams, r.resume(r.start("vm-1"), streams), 0)
	})
	t.Run("whose beginning nobody knows", func(t *testing.T) {
		r := newVersionRig(t, "v1", "v2")
		r.waitForVersions(r.entryVM, 2)
		for _, s := range r.resume(r.entryVM, []*versionStream{{id: "a-unknown", events: 3}, {id: "", events: 3}}) {
			assert.Equal(t, s.status, http.StatusServiceUnavailable)
			assert.Equal(t, s.retryAfter, "", "no later attempt knows more")
		}
	})
	t.Run("whose beginning nobody knows, with one version in service", func(t *testing.T) {
		r := newVersionRig(t, "v1")
		r.waitForVersions(r.entryVM, 1)
		streams := r.beginAll(r.entryVM, streamCount, 3)
		r.kill()
		assertGoOn(t, streams, r.resume(r.start("vm-1"), streams), streamCount)
	})
}
