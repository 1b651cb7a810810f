package turmericshed_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericshed"
)

func TestOperatorsPageListsEveryKind(t *testing.T) {
	page, err := os.ReadFile("docs/operators/errors.md")
	assert.NilError(t, err)
	for _, k := range turmericshed.Kinds() {
		t.Run(k.String(), func(t *testing.T) {
			info := k.Info()
			row := fmt.Sprintf("| %s | %d | %s |", info.Name, info.Status, info.Outcome)
			assert.Assert(t, strings.Contains(string(page), row), "want row %q", row)
		})
	}
}
