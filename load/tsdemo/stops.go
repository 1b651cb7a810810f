package tsdemo

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"sync"
	"time"

	"turmericshed"
	"turmericshed/load/tsload"
	"turmericshed/standin/tsengine"
)

// Sizes of the experiment on graceful stops.
const (
	stopsAtOnce    = 20
	streamsPerStop = 5
	stopTokens     = 64
)

// StopsResult tells what graceful stops under load cut off.
type StopsResult struct {
	Stops   int `json:"stops"`
	Streams int `json:"streams"`
	// Refused counts streams that were refused before the stop, by kind.
	Refused map[string]int `json:"refused"`
	// CutOff counts streams that were open at the stop and did not end
	// whole.
	CutOff int `json:"cut_off"`
	// Failed counts stops that did not end well within the drain limit.
	Failed int `json:"failed"`
	// OpenLots counts lots that were not returned.
	OpenLots     int                 `json:"open_lots"`
	BurntTokens  turmericshed.Tokens `json:"burnt_tokens"`
	StopMostSecs float64             `json:"stop_most_seconds"`
}

// Stops starts an entry VM n times, opens streams through it and stops it
// gracefully while they run.
func Stops(ctx context.Context, n int) (StopsResult, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	u := &user{name: "stops", model: "m", service: "bookings"}
	d := &demo{opts: Options{Rate: float64(n), Duration: 30 * time.Second, Progress: discard{}}, events: newEvents(nil), users: []*user{u}}
	var err error
	d.cluster, err = newCluster(ctx, slog.New(slog.DiscardHandler), d.events, []turmericshed.Model{u.model}, []string{u.service})
	if err != nil {
		return StopsResult{}, err
	}
	defer d.cluster.wg.Wait()
	defer cancel()
	if err := d.makeUser(ctx, u); err != nil {
		return StopsResult{}, err
	}
	s := &stops{d: d, u: u, res: StopsResult{Refused: map[string]int{}}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: streamsPerStop}}}
	gate := make(chan struct{}, stopsAtOnce)
	var wg sync.WaitGroup
	for i := range n {
		gate <- struct{}{}
		wg.Go(func() {
			defer func() { <-gate }()
			s.runStop(ctx, i)
		})
	}
	wg.Wait()
	return s.finish(ctx)
}

// discard takes progress that nobody reads.
type discard struct{}

// Write drops p.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// stops is the experiment on its way.
type stops struct {
	d      *demo
	u      *user
	client *http.Client

	mu  sync.Mutex
	res StopsResult
}

// one starts an entry VM, opens streams, stops it and waits for both.
func (s *stops) runStop(ctx context.Context, i int) {
	vm, err := s.d.cluster.launch(domains()[i%len(domains())])
	for err == nil && !vm.proc.Ready() {
		time.Sleep(readyPoll)
	}
	if err != nil {
		s.update(func(r *StopsResult) { r.Failed++ })
		return
	}
	var opened, ended sync.WaitGroup
	for k := range streamsPerStop {
		opened.Add(1)
		ended.Go(func() {
			end := s.stream(ctx, vm, s.u.accounts[k%len(s.u.accounts)], fmt.Sprintf("%d-%d", i, k), opened.Done)
			s.update(func(r *StopsResult) { r.count(end) })
		})
	}
	opened.Wait()
	began := time.Now()
	vm.stop()
	err = <-vm.stopped
	took := time.Since(began).Seconds()
	ended.Wait()
	s.update(func(r *StopsResult) {
		r.Stops++
		r.StopMostSecs = max(r.StopMostSecs, took)
		if err != nil {
			r.Failed++
		}
	})
}

// streamEnd is how one stream ended: whole, refused with a kind, or cut off.
type streamEnd struct {
	complete    bool
	refusalKind string
}

func (r *StopsResult) count(end streamEnd) {
	r.Streams++
	switch {
	case end.complete:
	case end.refusalKind != "":
		r.Refused[end.refusalKind]++
	default:
		r.CutOff++
	}
}

func (s *stops) update(change func(r *StopsResult)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.res)
}

// stream runs one generation and calls opened at its first event.
func (s *stops) stream(ctx context.Context, vm *entryVM, account tsload.Account, id string, opened func()) streamEnd {
	var once sync.Once
	defer once.Do(opened)
	messages := []turmericshed.Message{{Role: "user", Content: "stop " + id}}
	body, err := json.Marshal(map[string]any{"stream": true, "max_tokens": stopTokens, "messages": messages})
	if err != nil {
		return streamEnd{}
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+vm.proc.Addr().String()+"/v1/chat/completions", strings.NewReader(string(body)))
	if err != nil {
		return streamEnd{}
	}
	req.Header.Set("Authorization", "Bearer "+account.Key)
	req.Header.Set("Turmericshed-Profile", string(s.u.assistant()))
	resp, err := s.client.Do(req)
	if err != nil {
		return streamEnd{}
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return streamEnd{refusalKind: refusedKind(resp.Body)}
	}
	var text strings.Builder
	in := bufio.NewScanner(resp.Body)
	for in.Scan() {
		data, ok := strings.CutPrefix(in.Text(), "data: ")
		if !ok {
			continue
		}
		once.Do(opened)
		if data == "[DONE]" {
			want, _ := tsengine.Expect(messages, stopTokens)
			return streamEnd{complete: text.String() == want}
		}
		var c struct {
			Choices []struct{ Delta struct{ Content string } }
		}
		if json.Unmarshal([]byte(data), &c) != nil || len(c.Choices) != 1 {
			return streamEnd{}
		}
		text.WriteString(c.Choices[0].Delta.Content)
	}
	return streamEnd{}
}

// refusedKind returns the error kind in a refusal.
func refusedKind(body io.Reader) string {
	var e struct{ Error struct{ Kind string } }
	if json.NewDecoder(body).Decode(&e) != nil || e.Error.Kind == "" {
		return "not_json"
	}
	return e.Error.Kind
}

// finish reads what the stops left in the ledger.
func (s *stops) finish(ctx context.Context) (StopsResult, error) {
	l, err := s.d.ledger(ctx, s.u.assistant())
	if err != nil {
		return s.res, err
	}
	s.res.OpenLots = len(l.Lots)
	s.res.BurntTokens = l.Spent + l.Open() - s.d.engineTokens(s.u)
	return s.res, nil
}
