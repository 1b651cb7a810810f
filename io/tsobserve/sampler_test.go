package tsobserve_test

import (
	"bytes"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/io/tsobserve"
)

func TestLogVolumeIsBoundedByKind(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		log := tsobserve.WithPrefix(tsobserve.NewLogger(&out, tsobserve.LogJSON, slog.LevelInfo), "relay")
		logBurst := func() {
			for range 1000 {
				log.Warn("not answered", "kind", "budget_unavailable")
			}
		}
		logBurst()
		log.Warn("not answered", "kind", "internal")
		log.Info("answered")
		count := func(text string) int { return strings.Count(out.String(), text) }
		assert.Equal(t, count(`"budget_unavailable"`), 100)
		assert.Equal(t, count(`"internal"`), 1, "a line with another kind of error is not suppressed")
		assert.Equal(t, count(`"relay: answered"`), 1)
		time.Sleep(1100 * time.Millisecond)
		log.Warn("not answered", "kind", "budget_unavailable")
		assert.Equal(t, count(`"left_out":900`), 1)
		logBurst()
		assert.Equal(t, count(`"budget_unavailable"`), 200)
		log.Warn("not answered", "status", 200, "kind", "budget_unavailable")
		assert.Equal(t, count(`"budget_unavailable"`), 201, "a line with another status is not suppressed")
	})
}
