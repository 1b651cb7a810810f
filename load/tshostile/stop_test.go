package tshostile_test

import (
	"bytes"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// gracePeriod is the time in the settings from SIGTERM until a process is killed. exitSlack is
	// the time after it until a process must have exited.
	gracePeriod = 8 * time.Second
	exitSlack   = 5 * time.Second
	// entryDrainLimit is the time allowed for the stop of an entry process, which ends its connections
	// to the platform afterwards.
	entryDrainLimit = 10 * time.Second
)

// stopUnderCrowd tells a process to stop while a crowd is connected whose bodies never end, and
// checks that it exits as after a stop in a calm period.
func stopUnderCrowd(t *testing.T, p *process, limit time.Duration, pieces func(i int) [][]byte) {
	t.Helper()
	var c crowd
	t.Cleanup(c.close)
	c.send(p.callerAddr, pieces)
	assert.NilError(t, p.cmd.Process.Signal(syscall.SIGTERM))
	select {
	case <-p.exited:
		assert.Equal(t, p.cmd.ProcessState.ExitCode(), 0)
	case <-time.After(limit):
		t.Fatalf("the process runs %s after it was told to stop", limit)
	}
}

// Guards against a stop that waits for bodies that never end, and cuts off other requests then.
func TestStopUnderBodiesThatNeverEnd(t *testing.T) {
	t.Run("gateway", func(t *testing.T) {
		g := startWithDesk(t)
		body := bytes.Repeat([]byte("x"), ordinaryBodyBytes-missingBytes)
		stopUnderCrowd(t, g.process, gracePeriod+exitSlack, func(int) [][]byte { return [][]byte{lengthHead(ordinaryBodyBytes), body} })
	})
	t.Run("entry", func(t *testing.T) {
		e := startEntry(t)
		body := chat(ordinaryBodyBytes)[:ordinaryBodyBytes-missingBytes]
		stopUnderCrowd(t, e.process, entryDrainLimit+exitSlack, func(int) [][]byte { return [][]byte{e.lengthHead(e.keys[0], ordinaryBodyBytes), body} })
	})
}
