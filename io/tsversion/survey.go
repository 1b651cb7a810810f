package tsversion

import (
	"context"
	"sync"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tspreference"
	"turmericshed/core/tsversion"
	"turmericshed/io/tspeerapi"
)

// An entry VM that the store does not answer may be cut off together with a few others. What these agree on
// proves nothing: another version may have been registered out of their sight. Either another entry VM has the
// store's answer, or the store answers nobody and every listed entry VM has to be heard.

// storeReaders is the number of entry VMs that are asked to read the registered versions.
const storeReaders = 3

// survey is what the other entry VMs know of a service's versions.
type survey struct {
	// registered are the versions that another entry VM read from the store; nil if none could.
	registered tsversion.Versions
	// known are those that the entry VMs know to be listed or registered.
	known []turmericshed.SoftwareVersion
	// asked and count are the numbers of entry VMs that were asked and that answered.
	asked, count int
}

// survey asks all entry VMs.
func (v *Versions) survey(ctx context.Context, service string) survey {
	ctx, cancel := context.WithTimeout(ctx, v.timeout())
	defer cancel()
	vms := tspreference.RankByKey(v.cfg.Members.Reachable(), service)
	replies := make(chan *tspeerapi.FindStreamResponse, len(vms))
	for i, vm := range vms {
		go func() {
			var m *tspeerapi.FindStreamResponse
			_ = v.call(ctx, vm, func(ctx context.Context, c tspeerapi.VersionServiceClient) error {
				resp, err := c.Find(ctx, connect.NewRequest(&tspeerapi.FindStreamRequest{Service: service, ReadRegistered: i < storeReaders}))
				if err == nil {
					m = resp.Msg
				}
				return err
			}) // An entry VM that does not answer is not counted.
			replies <- m
		}()
	}
	s := survey{asked: len(vms)}
	for range vms {
		m := <-replies
		if m == nil {
			continue
		}
		s.count++
		for _, software := range m.Software {
			s.known = append(s.known, turmericshed.SoftwareVersion(software))
		}
		if m.IsRegisteredRead {
			s.registered = tsversion.Versions{}
			for _, software := range m.Registered {
				s.registered.Add(tsversion.Versions{service: {turmericshed.SoftwareVersion(software)}})
			}
			return s
		}
	}
	return s
}

// soleOfSurvey returns the only version of a service according to a survey.
func (v *Versions) soleOfSurvey(service string, s survey) (turmericshed.SoftwareVersion, bool) {
	if s.registered != nil {
		return v.sole(service, s.registered, nil)
	}
	if s.asked == 0 || s.count < s.asked {
		return "", false
	}
	return v.sole(service, tsversion.Versions{}, s.known)
}

// nextCalls lets concurrent callers with the same key share a call. A caller never gets the result of a call
// that began before it asked.
type nextCalls[K comparable, T any] struct {
	mu      sync.Mutex
	waiting map[K]*nextCall[T]
	running map[K]*nextCall[T]
}

type nextCall[T any] struct {
	done   chan struct{}
	result T
}

// Do returns the result of a call of f that begins after Do was called: its own, or that of another caller.
func (c *nextCalls[K, T]) Do(key K, f func() T) T {
	c.mu.Lock()
	call, isJoined := c.waiting[key]
	before := c.running[key]
	if !isJoined {
		if c.waiting == nil {
			c.waiting, c.running = make(map[K]*nextCall[T]), make(map[K]*nextCall[T])
		}
		call = &nextCall[T]{done: make(chan struct{})}
		c.waiting[key] = call
	}
	c.mu.Unlock()
	if isJoined {
		<-call.done
		return call.result
	}
	if before != nil {
		<-before.done
	}
	c.mu.Lock()
	delete(c.waiting, key)
	c.running[key] = call
	c.mu.Unlock()
	call.result = f()
	c.mu.Lock()
	if c.running[key] == call {
		delete(c.running, key)
	}
	c.mu.Unlock()
	close(call.done)
	return call.result
}
