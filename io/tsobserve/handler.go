package tsobserve

import (
	"encoding/json"
	"net/http"
	"strconv"

	"turmericshed"
)

// readBatchEvents is the maximum number of events that are copied under one lock.
const readBatchEvents = 256

// Line is one line of the time line over HTTP. Seq is the cursor from which a reader
// continues; Missed is the number of events dropped immediately before this one.
type Line struct {
	Seq    uint64 `json:"seq"`
	Missed uint64 `json:"missed,omitempty"`
	turmericshed.Event
}

// Handler serves the events as JSON lines. The query parameter since is the seq of the
// last line already read; follow=true keeps the answer open for new events. The events
// of all client accounts are visible, so access must require the operators' key.
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		q := req.URL.Query()
		since, err := strconv.ParseUint(q.Get("since"), 10, 64)
		if err != nil && q.Has("since") {
			http.Error(w, "since: want the seq of a line", http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/x-ndjson")
		r.serve(w, req, since, q.Get("follow") == "true")
	})
}

func (r *Recorder) serve(w http.ResponseWriter, req *http.Request, cursor uint64, follow bool) {
	enc, flush := json.NewEncoder(w), http.NewResponseController(w)
	for {
		first, events, changed := r.eventsAfter(cursor)
		for i, e := range events {
			line := Line{Seq: first + uint64(i), Event: e}
			if i == 0 && first > cursor+1 {
				line.Missed = first - cursor - 1
			}
			if enc.Encode(line) != nil {
				return
			}
		}
		if len(events) > 0 {
			cursor = first + uint64(len(events)) - 1
			continue
		}
		if !follow || flush.Flush() != nil {
			return
		}
		select {
		case <-changed:
		case <-req.Context().Done():
			return
		}
	}
}
