package tsrelay_test

import (
	"context"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsrelay"
)

// fakeVersions knows no streams that began elsewhere.
type fakeVersions struct{ began, ended atomic.Int32 }

func (*fakeVersions) Usable(string) []turmericshed.SoftwareVersion { return nil }
func (v *fakeVersions) Began(turmericshed.StreamBeginning, bool)   { v.began.Add(1) }
func (v *fakeVersions) Ended(turmericshed.RequestID)               { v.ended.Add(1) }

func (*fakeVersions) Find(context.Context, string, turmericshed.RequestID) (turmericshed.StreamBeginning, error) {
	return turmericshed.StreamBeginning{}, turmericshed.NewError(turmericshed.KindNoBackend, "unknown")
}

// Guards against an answer whose stream is interrupted and goes on at a server of another software
// version.
func TestAnswersJoinTwoSoftwareVersions(t *testing.T) {
	remainder := func(id string) string { return streamHead(id) + chunked("id: 3\ndata: c\n\n") + "0\r\n\r\n" }
	request := func(t *testing.T, software ...turmericshed.SoftwareVersion) (body string, versions *fakeVersions, err error) {
		versions = &fakeVersions{}
		body, err = requestInterruptedStream(t, remainder, func(cfg *tsrelay.Config, servers []turmericshed.BackendServer) {
			cfg.StreamVersions = versions
			for i := range servers {
				servers[i].Software = software[i]
			}
		})
		return body, versions, err
	}
	t.Run("end early", func(t *testing.T) {
		body, versions, err := request(t, "v1", "v2")
		assert.Equal(t, body, firstEvents)
		assert.Assert(t, err != nil, "the stream looks complete")
		assert.Equal(t, versions.began.Load(), int32(1))
		assert.Equal(t, versions.ended.Load(), int32(0))
	})
	t.Run("go on at the same version", func(t *testing.T) {
		body, versions, err := request(t, "v2", "v2")
		assert.NilError(t, err)
		assert.Assert(t, strings.HasSuffix(body, "data: c\n\n"), body)
		assert.Equal(t, versions.began.Load(), int32(1))
		assert.Equal(t, versions.ended.Load(), int32(1))
	})
}
