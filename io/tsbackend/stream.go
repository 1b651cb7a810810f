package tsbackend

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"sync"

	"turmericshed"
)

// maxEventBytes bounds one server-sent event.
const maxEventBytes = 1 << 20

// stream reads frames from server-sent events. Frames are passed on as they
// were sent, late, crossed, doubled or missing ones too.
type stream struct {
	sc     *bufio.Scanner
	body   io.Closer
	cancel context.CancelFunc
	once   sync.Once
	// end is the error of every later Next.
	end error
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	sc := bufio.NewScanner(body)
	sc.Buffer(nil, maxEventBytes)
	return &stream{sc: sc, body: body, cancel: cancel}
}

// Next returns the next frame, io.EOF after the end mark that follows an end
// frame, and KindStreamBroken when the stream ended in any other way. An end
// frame may be crossed, so the caller checks that it got its own.
func (s *stream) Next() (turmericshed.Frame, error) {
	if s.end != nil {
		return turmericshed.Frame{}, s.end
	}
	f, err := s.next()
	if err != nil {
		s.end = err
	}
	return f, err
}

func (s *stream) next() (turmericshed.Frame, error) {
	for s.sc.Scan() {
		data, ok := bytes.CutPrefix(s.sc.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		f, done, err := DecodeEvent(bytes.TrimSpace(data))
		if done {
			return f, io.EOF
		}
		return f, err
	}
	err := s.sc.Err()
	if err == nil {
		err = io.ErrUnexpectedEOF
	}
	return turmericshed.Frame{}, turmericshed.WrapError(turmericshed.KindStreamBroken, err, "the stream ended early")
}

// Close ends the reading; the generation may go on at the engine.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
