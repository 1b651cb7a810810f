package tsengine

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"time"

	"turmericshed"
	"turmericshed/io/tsbackend"
	"turmericshed/standin/tsnode"
)

// maxBodyBytes bounds a request body.
const maxBodyBytes = 8 << 20

// The paths of the control interface.
const (
	PathFaults = "/control/faults"
	PathBooks  = "/control/books"
	PathLeave  = "/control/leave"
	PathCrash  = "/control/crash"
)

// newApp returns the handlers and an empty batch for server s.
func newApp(e *Engine, s turmericshed.BackendServer) *app {
	a := &app{ServeMux: http.NewServeMux(), engine: e, server: s, batch: newBatch(e.opts, &e.books)}
	a.HandleFunc("POST "+tsbackend.PathCompletions, a.completions)
	a.HandleFunc("GET "+tsbackend.PathStreams+"{id}", a.resume)
	a.HandleFunc("POST "+tsbackend.PathStreams+"{id}/cancel", func(w http.ResponseWriter, r *http.Request) {
		tsnode.WriteJSON(w, a.batch.cancel(turmericshed.StreamID(r.PathValue("id"))))
	})
	a.HandleFunc("POST "+tsbackend.PathTokenize, a.tokenize)
	a.HandleFunc("GET "+tsbackend.PathLoad, func(w http.ResponseWriter, _ *http.Request) {
		l := a.batch.load(time.Now())
		l.Server, l.Leaving = s.ID, e.Leaving()
		tsnode.WriteJSON(w, l)
	})
	a.HandleFunc("GET "+tsbackend.PathCacheEvents, func(w http.ResponseWriter, r *http.Request) {
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		tsnode.WriteJSON(w, tsbackend.CacheEvents{Events: a.batch.cacheEvents(after, time.Now().Add(-e.opts.LoadLag))})
	})
	a.HandleFunc("GET "+PathBooks, func(w http.ResponseWriter, _ *http.Request) { tsnode.WriteJSON(w, e.Books()) })
	a.HandleFunc("GET "+PathFaults, func(w http.ResponseWriter, _ *http.Request) { tsnode.WriteJSON(w, e.Faults()) })
	a.HandleFunc("PUT "+PathFaults, func(w http.ResponseWriter, r *http.Request) {
		var f Faults
		if !decode(w, r, &f) {
			return
		}
		e.ChangeFaults(func(active *Faults) { *active = f })
		tsnode.WriteJSON(w, f)
	})
	a.HandleFunc("POST "+PathLeave, func(w http.ResponseWriter, r *http.Request) {
		e.Leave(r.Context())
		tsnode.WriteJSON(w, struct{}{})
	})
	a.HandleFunc("POST "+PathCrash, func(http.ResponseWriter, *http.Request) { a.crash() })
	return a
}

// decode reads the JSON body into v, or refuses the request and returns false.
func decode(w http.ResponseWriter, r *http.Request, v any) bool {
	err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes)).Decode(v)
	if err != nil {
		tsnode.Refuse(w, http.StatusBadRequest, tsbackend.CodeInvalid, "bad body: "+err.Error())
	}
	return err == nil
}

// crash crashes the engine and aborts the current request.
func (a *app) crash() {
	a.engine.Crash()
	panic(http.ErrAbortHandler)
}

// completions starts a generation and writes its answer, either complete or as
// a stream.
func (a *app) completions(w http.ResponseWriter, r *http.Request) {
	var in tsbackend.ChatRequest
	if !decode(w, r, &in) {
		return
	}
	f := a.engine.Faults()
	if f.Delay > 0 {
		select {
		case <-time.After(time.Duration(f.Delay)):
		case <-r.Context().Done():
			return
		}
	}
	if a.refuseRequest(w, in, f) {
		return
	}
	id := turmericshed.StreamID(r.Header.Get(tsbackend.HeaderStreamID))
	if id == "" {
		id = turmericshed.StreamID(turmericshed.NewID("stream-"))
	}
	priority, _ := strconv.Atoi(r.Header.Get(tsbackend.HeaderPriority))
	g, code := a.batch.add(turmericshed.GenerateRequest{
		Stream: id, Model: in.Model, Messages: in.Messages, MaxTokens: in.MaxTokens, Priority: priority,
	})
	switch {
	case code == tsbackend.CodeBusy:
		tsnode.Refuse(w, http.StatusServiceUnavailable, code, "the queue is full")
	case code != "":
		tsnode.Refuse(w, http.StatusConflict, code, "stream "+string(id))
	case in.Stream:
		a.writeStream(w, r, g, 0)
	default:
		a.writeCompleteAnswer(w, r, g)
	}
}

// refuseRequest refuses a request that cannot start and reports whether it did.
// It crashes the engine if a message contains Faults.CrashMarker.
func (a *app) refuseRequest(w http.ResponseWriter, in tsbackend.ChatRequest, f Faults) bool {
	for _, m := range in.Messages {
		if f.CrashMarker != "" && strings.Contains(m.Content, f.CrashMarker) {
			a.crash()
		}
	}
	switch {
	case a.engine.Leaving():
		tsnode.Refuse(w, http.StatusServiceUnavailable, tsbackend.CodeLeaving, "leaving")
	case f.Refuse:
		tsnode.Refuse(w, http.StatusServiceUnavailable, tsbackend.CodeBusy, "refusing")
	case in.MaxTokens < 1 || len(in.Messages) == 0:
		tsnode.Refuse(w, http.StatusBadRequest, tsbackend.CodeInvalid, "want messages and max_tokens above 0")
	case !a.servesModel(in.Model):
		tsnode.Refuse(w, http.StatusBadRequest, tsbackend.CodeInvalid, "model "+string(in.Model)+" is not served here")
	default:
		return false
	}
	return true
}

// servesModel reports whether the server has model m. A server without a list
// of models serves all.
func (a *app) servesModel(m turmericshed.Model) bool {
	for _, served := range a.server.Models {
		if served == m {
			return true
		}
	}
	return len(a.server.Models) == 0
}

func (a *app) tokenize(w http.ResponseWriter, r *http.Request) {
	var in tsbackend.TokenizeRequest
	if decode(w, r, &in) {
		tsnode.WriteJSON(w, tsbackend.TokenizeAnswer{Count: CountTokens(in.Messages)})
	}
}

// resume sends the frames of a stream from the sequence number in the query
// parameter "from" on.
func (a *app) resume(w http.ResponseWriter, r *http.Request) {
	g, ok := a.batch.find(turmericshed.StreamID(r.PathValue("id")))
	from, err := strconv.Atoi(r.URL.Query().Get("from"))
	if !ok || err != nil || from < 0 {
		tsnode.Refuse(w, http.StatusNotFound, tsbackend.CodeNotFound, "no such stream")
		return
	}
	a.writeStream(w, r, g, from)
}

// writeCompleteAnswer writes the answer in one piece when the generation ends.
// It aborts the connection if the generation is canceled.
func (a *app) writeCompleteAnswer(w http.ResponseWriter, r *http.Request, g *generation) {
	var text strings.Builder
	seq := 0
	for {
		frames, ended, canceled, changed := a.batch.framesFrom(g, seq)
		for _, f := range frames {
			text.WriteString(f.Text)
			if f.End {
				tsnode.WriteJSON(w, tsbackend.ChatAnswer{
					ID: g.id, Object: "chat.completion", Model: g.model,
					Choices: []tsbackend.AnswerChoice{{Message: turmericshed.Message{Role: "assistant", Content: text.String()}, Finish: f.Finish}},
					Usage:   tsbackend.ChatUsage{Usage: f.Usage, TotalTokens: f.Usage.Total()},
				})
				return
			}
		}
		seq += len(frames)
		if ended && canceled {
			panic(http.ErrAbortHandler)
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}
