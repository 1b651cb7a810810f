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

// stream reads frames from server-sent events. It returns frames as the engine sent them and does not
// detect delayed, duplicate or missing frames or those of other streams.
type stream struct {
	scanner *bufio.Scanner
	body    io.Closer
	cancel  context.CancelFunc
	once    sync.Once
	// endErr is returned by every Next call after the end of the stream or a failure.
	endErr error
}

func newStream(body io.ReadCloser, cancel context.CancelFunc) *stream {
	scanner := bufio.NewScanner(body)
	scanner.Buffer(nil, maxEventBytes)
	return &stream{scanner: scanner, body: body, cancel: cancel}
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

// Close stops reading; the generation may continue at the engine.
func (s *stream) Close() error {
	s.once.Do(func() {
		s.cancel()
		_ = s.body.Close()
	})
	return nil
}
