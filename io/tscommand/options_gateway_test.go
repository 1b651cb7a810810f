package tscommand

import (
	"io"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed/core/tsspill"
)

func TestSpillCost(t *testing.T) {
	cost := func(args ...string) (time.Duration, error) {
		o, err := parseGateway(append([]string{"-config", "x"}, args...), io.Discard)
		return o.spill.CostPerMegabyte, err
	}
	for _, c := range []struct {
		args []string
		want time.Duration
	}{
		{nil, tsspill.DefaultCostPerMegabyte},
		{[]string{"-spill-cost", "0s"}, 0},
		{[]string{"-spill-cost", "2s"}, 2 * time.Second},
	} {
		got, err := cost(c.args...)
		assert.NilError(t, err)
		assert.Equal(t, got, c.want)
	}
	_, err := cost("-spill-cost", "-1s")
	assert.ErrorContains(t, err, "-spill-cost")
}
