package tsversion

import (
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspause"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const (
	// holderCount is the number of entry VMs that hold the beginning of a stream.
	holderCount = 3
	// shareDelay is how long beginnings are collected for one call.
	shareDelay = 20 * time.Millisecond
	// callTimeout is the timeout of a call to another entry VM; congestedCallTimeout replaces it
	// while the local network link is congested.
	callTimeout          = 300 * time.Millisecond
	congestedCallTimeout = time.Second
	// peerReadTimeout bounds the reading of the registered versions for another entry VM. It leaves
	// time for the answer.
	peerReadTimeout = 200 * time.Millisecond
	// maxStreamsPerCall bounds the beginnings in one call.
	maxStreamsPerCall = 256
)

// Handler returns the path and handler of the calls from other entry VMs.
func (v *Versions) Handler() (string, http.Handler) {
	return tspeerapi.NewVersionServiceHandler(service{v})
}

// service answers the calls from other entry VMs.
type service struct{ v *Versions }

// Record stores the beginnings of streams as their holder.
func (s service) Record(_ context.Context, r *connect.Request[tspeerapi.RecordStreamsRequest]) (*connect.Response[tspeerapi.RecordStreamsResponse], error) {
	now := time.Now()
	s.v.mu.Lock()
	defer s.v.mu.Unlock()
	for _, m := range r.Msg.Streams {
		s.v.streams.Put(decodeBeginning(now, m))
	}
	return connect.NewResponse(&tspeerapi.RecordStreamsResponse{}), nil
}

// Find returns what this entry VM knows of a stream.
func (s service) Find(ctx context.Context, r *connect.Request[tspeerapi.FindStreamRequest]) (*connect.Response[tspeerapi.FindStreamResponse], error) {
	now := time.Now()
	m := &tspeerapi.FindStreamResponse{}
	if r.Msg.ReadRegistered {
		readCtx, cancel := context.WithTimeout(ctx, peerReadTimeout)
		defer cancel()
		registered := s.v.read(readCtx)
		m.IsRegisteredRead = registered != nil
		for _, software := range registered[r.Msg.Service] {
			m.Registered = append(m.Registered, string(software))
		}
	}
	s.v.mu.Lock()
	defer s.v.mu.Unlock()
	if b, ok := s.v.streams.Get(now, turmericshed.RequestID(r.Msg.Request)); ok {
		m.Stream = encodeBeginning(now, b)
	}
	for _, version := range s.v.knownVersions(r.Msg.Service) {
		m.Software = append(m.Software, string(version))
	}
	return connect.NewResponse(m), nil
}

func encodeBeginning(now time.Time, b turmericshed.StreamBeginning) *tspeerapi.StreamBeginning {
	return &tspeerapi.StreamBeginning{Request: string(b.Request), Service: b.Service, Software: string(b.Software), LeftMs: b.Until.Sub(now).Milliseconds()}
}

func decodeBeginning(now time.Time, m *tspeerapi.StreamBeginning) turmericshed.StreamBeginning {
	return turmericshed.StreamBeginning{
		Request: turmericshed.RequestID(m.Request), Service: m.Service, Software: turmericshed.SoftwareVersion(m.Software),
		Until: now.Add(time.Duration(m.LeftMs) * time.Millisecond),
	}
}

// sharer sends the beginnings of streams to their holders while their service is mixed.
type sharer struct{ v *Versions }

// String names the controller in the supervisor's log.
func (sharer) String() string { return "stream beginnings" }

// Serve sends beginnings until ctx ends.
func (s sharer) Serve(ctx context.Context) error {
	for {
		select {
		case <-s.v.shareWake:
			tspause.For(ctx, shareDelay)
			s.v.share(ctx)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// share sends the beginnings that are to be shared. It doesn't wait for the calls: a holder that
// does not answer must not delay what is sent to others.
func (v *Versions) share(ctx context.Context) {
	v.mu.Lock()
	streams := v.streams.TakeUnshared(time.Now(), v.tracker.IsMixed)
	v.mu.Unlock()
	if len(streams) == 0 {
		return
	}
	self, others := v.cfg.Members.Self(), v.cfg.Members.Reachable()
	byHolder := make(map[string][]turmericshed.StreamBeginning)
	vms := make(map[string]turmericshed.EntryVM)
	for _, b := range streams {
		for _, vm := range holders(self, others, b.Request) {
			byHolder[vm.Name] = append(byHolder[vm.Name], b)
			vms[vm.Name] = vm
		}
	}
	for name, list := range byHolder {
		for batch := range slices.Chunk(list, maxStreamsPerCall) {
			go v.record(ctx, vms[name], batch)
		}
	}
}

// holders returns the other entry VMs that hold the beginning of a stream.
func holders(self turmericshed.EntryVM, others []turmericshed.EntryVM, id turmericshed.RequestID) []turmericshed.EntryVM {
	ranked := tspreference.RankByKey(append(slices.Clone(others), self), string(id))
	ranked = ranked[:min(holderCount, len(ranked))]
	return slices.DeleteFunc(ranked, func(vm turmericshed.EntryVM) bool { return vm.Name == self.Name })
}

// record sends beginnings to a holder.
func (v *Versions) record(ctx context.Context, vm turmericshed.EntryVM, streams []turmericshed.StreamBeginning) {
	m := &tspeerapi.RecordStreamsRequest{}
	now := time.Now()
	for _, b := range streams {
		m.Streams = append(m.Streams, encodeBeginning(now, b))
	}
	err := v.call(ctx, vm, func(ctx context.Context, c tspeerapi.VersionServiceClient) error {
		_, err := c.Record(ctx, connect.NewRequest(m))
		return err
	})
	if err != nil {
		v.cfg.Log.Info("entry VM did not record the beginnings of streams", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "streams", len(streams), "error", err.Error())
	}
}

// call runs f with a client of another entry VM and with the timeout of a call.
func (v *Versions) call(ctx context.Context, vm turmericshed.EntryVM, f func(context.Context, tspeerapi.VersionServiceClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, v.timeout())
	defer cancel()
	hc, base := v.cfg.Peers.Client(vm.PeerAddr)
	return f(ctx, tspeerapi.NewVersionServiceClient(hc, base, tspeer.BoundAnswers()))
}

// timeout returns the timeout of a call.
func (v *Versions) timeout() time.Duration {
	return turmericshed.LinkTimeout(v.cfg.Link, callTimeout, congestedCallTimeout)
}

// answers are what the holders of a stream know of it.
type answers struct {
	// stream is nil if no holder knew the stream.
	stream *turmericshed.StreamBeginning
	// asked and count are the numbers of holders that were asked and that answered.
	asked, count int
}

// ask asks the holders of a stream until one knows it, or all have answered or failed.
func (v *Versions) ask(ctx context.Context, service string, id turmericshed.RequestID) answers {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	vms := holders(v.cfg.Members.Self(), v.cfg.Members.Reachable(), id)
	replies := make(chan *tspeerapi.FindStreamResponse, len(vms))
	for _, vm := range vms {
		go func() {
			err := v.call(ctx, vm, func(ctx context.Context, c tspeerapi.VersionServiceClient) error {
				resp, err := c.Find(ctx, connect.NewRequest(&tspeerapi.FindStreamRequest{Request: string(id), Service: service}))
				if err != nil {
					replies <- nil
					return err
				}
				replies <- resp.Msg
				return nil
			})
			if err != nil && ctx.Err() == nil {
				v.cfg.Log.Info("entry VM did not answer for the beginning of a stream", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "error", err.Error())
			}
		}()
	}
	a := answers{asked: len(vms)}
	for range vms {
		m := <-replies
		if m == nil {
			continue
		}
		a.count++
		if m.Stream != nil {
			b := decodeBeginning(time.Now(), m.Stream)
			a.stream = &b
			break
		}
	}
	return a
}
