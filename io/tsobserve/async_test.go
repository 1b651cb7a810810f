package tsobserve_test

import (
	"bytes"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsobserve"
)

// Guards against a panic of a goroutine that logs after the log was closed in a stop.
func TestLogLineAfterTheWriterWasClosed(t *testing.T) {
	var out bytes.Buffer
	w := tsobserve.NewAsyncWriter(&out)
	_, err := w.Write([]byte("before\n"))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	_, err = w.Write([]byte("after\n"))
	assert.NilError(t, err)
	assert.NilError(t, w.Close())
	assert.Equal(t, out.String(), "before\n")
	assert.Equal(t, w.Dropped(), int64(1))
}
