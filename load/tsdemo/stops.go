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

// Sizes of the graceful stop experiment.
const (
	stopsAtOnce    = 20
	streamsPerStop = 5
	stopTokens     = 64
)

// StopsResult reports what graceful stops under load cut off.
type StopsResult struct {
	Stops   int `json:"stops"`
	Streams int `json:"streams"`
	// Refused counts streams that were refused before the stop, by kind.
	Refused map[string]int `json:"refused"`
	// CutOff counts streams that were open at the stop, or failed before it
	// without a refusal, and did not end with the complete answer.
	CutOff int `json:"cut_off"`
	// Failed counts entry VMs that did not start, and stops that returned an
	// error, such as an exceeded drain limit.
	Failed int `json:"failed"`
	// OpenLots counts the lots that are still open after all stops.
	OpenLots       int                 `json:"open_lots"`
	BurntTokens    turmericshed.Tokens `json:"burnt_tokens"`
	MaxStopSeconds float64             `json:"stop_most_seconds"`
}

// RunStops starts n entry VMs, up to stopsAtOnce at a time, opens streams through each
// and stops it gracefully while they run.
func RunStops(ctx context.Context, n int) (StopsResult, error) {
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
	slots := make(chan struct{}, stopsAtOnce)
	var wg sync.WaitGroup
	for i := range n {
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			s.runStop(ctx, i)
		})
	}
	wg.Wait()
	return s.finish(ctx)
}

// discard is an io.Writer that drops everything.
type discard struct{}

// Write drops p and reports success.
func (discard) Write(p []byte) (int, error) { return len(p), nil }

// stops is the state of a running stop experiment.
type stops struct {
	d      *demo
	u      *user
	client *http.Client

	mu  sync.Mutex
	res StopsResult
}

// runStop starts an entry VM, opens streams through it, stops it, and waits until the
// VM and the streams have ended.
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
		r.MaxStopSeconds = max(r.MaxStopSeconds, took)
		if err != nil {
			r.Failed++
		}
	})
}

// streamEnd is how one stream ended: complete, refused with an error kind, or cut off
// (neither field set).
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

// stream runs one generation and calls opened once: at its first event, or when it
// returns without one.
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
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		once.Do(opened)
		if data == "[DONE]" {
			want, _ := tsengine.ExpectedAnswer(messages, stopTokens)
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

// refusedKind returns the error kind in the body of a refusal, or "not_json".
func refusedKind(body io.Reader) string {
	var e struct{ Error struct{ Kind string } }
	if json.NewDecoder(body).Decode(&e) != nil || e.Error.Kind == "" {
		return "not_json"
	}
	return e.Error.Kind
}

// finish adds the open lots and the burnt tokens from the ledger to the result.
func (s *stops) finish(ctx context.Context) (StopsResult, error) {
	l, err := s.d.ledger(ctx, s.u.assistant())
	if err != nil {
		return s.res, err
	}
	s.res.OpenLots = len(l.Lots)
	s.res.BurntTokens = l.Spent + l.OpenCharge() - s.d.engineTokens(s.u)
	return s.res, nil
}
