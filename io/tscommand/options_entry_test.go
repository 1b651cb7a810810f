package tscommand

import (
	"errors"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// entryArgs are the settings that an entry VM needs.
var entryArgs = strings.Fields("-name entry-1 -failure-domain a -caller-addr 127.0.0.1:0 -peer-addr 127.0.0.1:0 -platform-addr 127.0.0.1:1")

// Guards against limits that the process can't keep, and against one without an error that names
// it.
func TestEntryLimitsAreChecked(t *testing.T) {
	for _, args := range []string{
		"-memory-mb 63", "-memory-mb -1", "-memory-mb 1000001", "-memory-mb 9223372036854775807",
		"-file-descriptors 255", "-file-descriptors -1", "-file-descriptors 2147483647",
	} {
		_, _, err := parseEntry(append(strings.Fields(args), entryArgs...), io.Discard)
		var setting *SettingError
		assert.Assert(t, errors.As(err, &setting), "%s: %v", args, err)
		assert.Equal(t, setting.Setting+" "+setting.Value, args)
	}
}

// Guards against an entry VM without bounds where the settings name none.
func TestEntryLimitsHaveDefaults(t *testing.T) {
	cfg, _, err := parseEntry(entryArgs, io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, cfg.MemoryBytes, int64(2048_000_000))
	assert.Assert(t, cfg.FileDescriptors >= 256)
	cfg, _, err = parseEntry(append([]string{"-memory-mb", "0", "-file-descriptors", "300"}, entryArgs...), io.Discard)
	assert.NilError(t, err)
	assert.Equal(t, cfg.MemoryBytes, int64(0))
	assert.Equal(t, cfg.FileDescriptors, 300)
}
