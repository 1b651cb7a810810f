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
	scanner *bufio.Scanner
	body    io.Closer
	cancel  context.CancelFunc
	once    sync.Once
	// endErr is the error of every later Next.
	endErr error
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &stream{scanner: scanner, body: body, cancel: cancel}
}

// Next returns the next frame, io.EOF after the end mark that follows an end
// frame, and KindStreamBroken when the stream ended in any other way. An end
// frame may be crossed, so the caller checks that it got its own.
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
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data:"))
		if !ok {
			continue
		}
		f, done, err := DecodeEvent(bytes.TrimSpace(data))
		if done {
			return f, io.EOF
		}
		return f, err
	}
	err := s.scanner.Err()
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
