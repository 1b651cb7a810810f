package tsevents_test

import (
	"bytes"
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsevents"
)

const stream = "id: 1\ndata: a\n\nweight-versions: 2\nid: 2\r\ndata: b\r\n\r\ndata: no id\n\nid: 30\ndata: c\ndata: d\n\n"

func collect(t *testing.T, s *tsevents.Splitter, chunks ...[]byte) (raw []byte, ids []uint64) {
	t.Helper()
	for _, c := range chunks {
		events, err := s.Push(c)
		assert.NilError(t, err)
		for _, e := range events {
			raw = append(raw, e.Raw...)
			if e.HasID {
				ids = append(ids, e.ID)
			}
		}
	}
	return raw, ids
}

func TestSplitAtEveryByte(t *testing.T) {
	for cut := range len(stream) + 1 {
		t.Run(fmt.Sprint(cut), func(t *testing.T) {
			s := tsevents.NewSplitter(1000)
			raw, ids := collect(t, s, []byte(stream[:cut]), []byte(stream[cut:]))
			assert.Equal(t, string(raw), stream)
			assert.DeepEqual(t, ids, []uint64{1, 2, 30})
			assert.Assert(t, s.Empty())
		})
	}
}

func TestIncompleteEventIsBuffered(t *testing.T) {
	s := tsevents.NewSplitter(1000)
	raw, _ := collect(t, s, []byte("id: 1\ndata: a\n\nid: 2\ndata: b\n"))
	assert.Equal(t, string(raw), "id: 1\ndata: a\n\n")
	assert.Assert(t, !s.Empty())
}

func TestEventOverTheLimit(t *testing.T) {
	s := tsevents.NewSplitter(10)
	_, err := s.Push(bytes.Repeat([]byte("x"), 11))
	assert.Equal(t, turmericshed.KindOf(err), turmericshed.KindStreamBroken)
}

func FuzzSplit(f *testing.F) {
	f.Add([]byte(stream), 3)
	f.Fuzz(func(t *testing.T, data []byte, step int) {
		s, input := tsevents.NewSplitter(len(data)+1), data
		var raw []byte
		for step = max(step, 1); len(data) > 0; {
			n := min(step, len(data))
			events, err := s.Push(data[:n])
			assert.NilError(t, err)
			for _, e := range events {
				assert.Assert(t, bytes.HasSuffix(e.Raw, []byte("\n")))
				raw = append(raw, e.Raw...)
			}
			data = data[n:]
		}
		assert.Assert(t, bytes.HasPrefix(input, raw))
		assert.Equal(t, s.Empty(), len(raw) == len(input))
	})
}
