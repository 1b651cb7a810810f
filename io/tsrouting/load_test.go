package tsrouting_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tsboard"
	"turmericshed/io/tsrouting"
)

// Guards against readings that circulate: those of other entry VMs must not be shared again
// as this entry VM's own.
func TestOnlyOwnReportsAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		board := &tsboard.Board{}
		board.Servers.Write(servers(2))
		var shared []turmericshed.ServerID
		p := tsrouting.NewPool(tsrouting.PoolConfig{
			FailureDomain: "a", Board: board, OnReport: func(_ time.Time, r turmericshed.LoadReport) { shared = append(shared, r.Server) },
		})
		ctx, cancel := context.WithCancel(t.Context())
		for _, c := range p.Controllers() {
			go func() { _ = c.Serve(ctx) }()
		}
		synctest.Wait()
		p.Report(time.Now(), turmericshed.LoadReport{Server: "s-0", At: time.Now()})
		board.Loads.Write(map[turmericshed.ServerID]turmericshed.LoadReport{"s-1": {Server: "s-1", At: time.Now(), Running: 8, Relayed: true}})
		synctest.Wait()
		assert.DeepEqual(t, shared, []turmericshed.ServerID{"s-0"})
		pressure, _ := p.Load(time.Now(), turmericshed.WorkAssistant)
		assert.Assert(t, pressure > 0, "the reading of another entry VM counts")
		cancel()
		synctest.Wait()
	})
}
