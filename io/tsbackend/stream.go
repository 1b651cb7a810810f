package tsbackend

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"sync"

	"turmericshed"
	"turmericshed/io/tsintake"
)

const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// readBytes is the size of one read. A line of that size needs no reservation.
	readBytes = 4 << 10
)

// errLongEvent reports an event over maxEventBytes.
var errLongEvent = errors.New("the event is too long")

// stream reads frames from server-sent events. It returns frames as the engine sent them and does not
// detect delayed, duplicate or missing frames or those of other streams.
type stream struct {
	r    *bufio.Reader
	body io.Closer
	// line is the current line if it does not fit into r's buffer; its memory is reserved.
	line     []byte
	memory   *tsintake.Body
	reserved int
	cancel   context.CancelFunc
	once     sync.Once
	// endErr is returned by every Next call after the end of the stream or a failure.
	endErr error
}

func newStream(body io.ReadCloser, memory *tsintake.Body, cancel context.CancelFunc) *stream {
	return &stream{r: bufio.NewReaderSize(body, readBytes), memory: memory, body: body, cancel: cancel}
}

// Next returns the next frame. It returns io.EOF at the [DONE] event that follows an end frame, and
// KindStreamBroken when the stream ends in any other way. An end frame may belong to another stream, so
// the caller has to check its stream ID.
func (s *stream) Next() (turmericshed.Frame, error) {
	if s.endErr != nil {
		return turmericshed.Frame{}, s.endErr
	}
	f, err := s.next()
	if err != nil {
		s.endErr = err
	}
	return f, err
}

func (s *stream) next() (turmericshed.Frame, error) {
	for {
		line, err := s.readLine()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = io.ErrUnexpectedEOF
			}
			return turmericshed.Frame{}, turmericshed.WrapError(turmericshed.KindStreamBroken, err, "the stream ended early")
		}
		data, ok := bytes.CutPrefix(line, []byte("data:"))
		if !ok {
			continue
		}
		f, done, err := DecodeEvent(bytes.TrimSpace(data))
		if done {
			return f, io.EOF
		}
		return f, err
	}
}

// readLine returns the next line, which is valid until the next call. Errors: errLongEvent,
// KindOverloaded if there is no memory for it, and those of the body.
func (s *stream) readLine() ([]byte, error) {
	s.line = s.line[:0]
	for {
		part, err := s.r.ReadSlice('\n')
		if len(s.line) == 0 && !errors.Is(err, bufio.ErrBufferFull) {
			if errors.Is(err, io.EOF) && len(part) > 0 {
				err = nil
			}
			return part, err
		}
		if len(s.line)+len(part) > maxEventBytes {
			return nil, errLongEvent
		}
		// The line grows to twice its size at most.
		if need := 2 * (len(s.line) + len(part)); need > s.reserved {
			if reserveErr := s.memory.Reserve(int64(need - s.reserved)); reserveErr != nil {
				return nil, reserveErr
			}
			s.reserved = need
		}
		s.line = append(s.line, part...)
		switch {
		case err == nil, errors.Is(err, io.EOF):
			return s.line, nil
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		}
	}
}

// Close stops reading; the generation may continue at the engine.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.cancel()
		_ = s.body.Close()
		s.memory.Release()
	})
	return nil
}
