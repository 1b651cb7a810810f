package tsengine

import (
	"encoding/json"
	"net/http"

	"turmericshed"
	"turmericshed/io/tsbackend"
)

// faultAt is the sequence number of the frame that an output fault changes.
const faultSeq = 1

// output writes one stream's frames with at most one fault.
type streamWriter struct {
	w          http.ResponseWriter
	generation *generation
	batch      *batch
	fault      outputFault
	// late is a frame that is sent after its successor.
	delayed *turmericshed.Frame
}

// stream sends the frames from seq on as they are made.
func (a *app) writeStream(w http.ResponseWriter, r *http.Request, g *generation, seq int) {
	w.Header().Set("Content-Type", "text/event-stream")
	o := &streamWriter{w: w, generation: g, batch: a.batch, fault: a.engine.faults.takeOutputFault()}
	flush := http.NewResponseController(w)
	_ = flush.Flush()
	for {
		frames, ended, canceled, changed := a.batch.framesFrom(g, seq)
		for _, f := range frames {
			if !o.send(f) {
				_ = flush.Flush()
				return
			}
		}
		seq += len(frames)
		if flush.Flush() != nil {
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

// send writes a frame as the fault has it; it returns false when the stream
// ends here.
func (o *streamWriter) send(f turmericshed.Frame) bool {
	if o.delayed != nil {
		late := *o.delayed
		o.delayed = nil
		o.write(f)
		o.write(late)
		return true
	}
	if f.Seq != faultSeq {
		o.write(f)
		return true
	}
	fault := o.fault
	o.fault = faultNone
	switch fault {
	case faultCrossed:
		if other, ok := o.batch.otherFrame(o.generation); ok {
			o.write(other)
		}
	case faultLate:
		if !f.End {
			o.delayed = &f
			return true
		}
	case faultDoubled:
		o.write(f)
	case faultMissing:
		return true
	case faultEarlyDone:
		_, _ = o.w.Write([]byte("data: [DONE]\n\n"))
		return false
	case faultEarlyClose:
		_ = http.NewResponseController(o.w).Flush()
		panic(http.ErrAbortHandler)
	case faultNone:
	}
	o.write(f)
	return true
}

func (o *streamWriter) write(f turmericshed.Frame) {
	b, err := json.Marshal(tsbackend.EncodeFrame(o.generation.model, f))
	if err != nil {
		return
	}
	_, _ = o.w.Write([]byte("data: "))
	_, _ = o.w.Write(b)
	_, _ = o.w.Write([]byte("\n\n"))
}
