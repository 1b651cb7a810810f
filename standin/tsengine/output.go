package tsengine

import (
	"encoding/json"
	"net/http"

	"turmericshed"
	"turmericshed/io/tsbackend"
)

// faultSeq is the sequence number of the frame that an output fault affects.
const faultSeq = 1

// streamWriter writes the frames of one stream and injects at most one fault.
type streamWriter struct {
	w          http.ResponseWriter
	generation *generation
	batch      *batch
	fault      outputFault
	// delayed is the frame that Faults.Late sends after its successor.
	delayed *turmericshed.Frame
}

// writeStream sends the frames from seq on as they are generated. It aborts the
// connection if the generation is canceled.
func (a *app) writeStream(w http.ResponseWriter, r *http.Request, g *generation, seq int) {
	w.Header().Set("Content-Type", "text/event-stream")
	s := &streamWriter{w: w, generation: g, batch: a.batch, fault: a.engine.faults.takeOutputFault()}
	flusher := http.NewResponseController(w)
	_ = flusher.Flush()
	for {
		frames, ended, canceled, changed := a.batch.framesFrom(g, seq)
		for _, f := range frames {
			if !s.send(f) {
				_ = flusher.Flush()
				return
			}
		}
		seq += len(frames)
		if flusher.Flush() != nil {
			return
		}
		if ended && canceled {
			panic(http.ErrAbortHandler)
		}
		if ended {
			_, _ = w.Write([]byte("data: [DONE]\n\n"))
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
}

// send writes a frame with the fault applied. It returns false if the stream
// ends here, and aborts the connection for faultEarlyClose.
func (s *streamWriter) send(f turmericshed.Frame) bool {
	if s.delayed != nil {
		delayed := *s.delayed
		s.delayed = nil
		s.write(f)
		s.write(delayed)
		return true
	}
	if f.Seq != faultSeq {
		s.write(f)
		return true
	}
	fault := s.fault
	s.fault = faultNone
	switch fault {
	case faultCrossed:
		if other, ok := s.batch.otherFrame(s.generation); ok {
			s.write(other)
		}
	case faultLate:
		if !f.End {
			s.delayed = &f
			return true
		}
	case faultDoubled:
		s.write(f)
	case faultMissing:
		return true
	case faultEarlyDone:
		_, _ = s.w.Write([]byte("data: [DONE]\n\n"))
		return false
	case faultEarlyClose:
		_ = http.NewResponseController(s.w).Flush()
		panic(http.ErrAbortHandler)
	case faultNone:
	}
	s.write(f)
	return true
}

// write sends a frame as one server-sent event.
func (s *streamWriter) write(f turmericshed.Frame) {
	b, err := json.Marshal(tsbackend.EncodeFrame(s.generation.model, f))
	if err != nil {
		return
	}
	_, _ = s.w.Write([]byte("data: "))
	_, _ = s.w.Write(b)
	_, _ = s.w.Write([]byte("\n\n"))
}
