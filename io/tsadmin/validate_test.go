package tsadmin_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/io/tsadmin"
)

func validProfile() turmericshed.Profile {
	return turmericshed.Profile{
		Name: "counter", Prepaid: 1000, Work: turmericshed.WorkAssistant, Model: "m1",
		Accounts: []turmericshed.AccountLimit{{Account: "a1"}},
	}
}

func assertKind(t *testing.T, err error, k turmericshed.Kind) {
	t.Helper()
	assert.Equal(t, turmericshed.KindOf(err), k, "%v", err)
}

// Guards against an invalid field being accepted or reported without its name.
func TestValidateProfile(t *testing.T) {
	assert.NilError(t, tsadmin.ValidateProfile(validProfile()))
	for field, change := range map[string]func(p *turmericshed.Profile){
		"name":                func(p *turmericshed.Profile) { p.Name = "a/b" },
		"prepaid":             func(p *turmericshed.Profile) { p.Prepaid = -1 },
		"call_cost":           func(p *turmericshed.Profile) { p.CallCost = -1 },
		"priority":            func(p *turmericshed.Profile) { p.Priority = 10 },
		"edge":                func(p *turmericshed.Profile) { p.Edge = "x" },
		"cut_bridge":          func(p *turmericshed.Profile) { p.PartitionTolerance = turmericshed.Duration(48 * time.Hour) },
		"work":                func(p *turmericshed.Profile) { p.Work = "x" },
		"services":            func(p *turmericshed.Profile) { p.Services = []string{"s"} },
		"model":               func(p *turmericshed.Profile) { p.Work, p.Services = turmericshed.WorkService, []string{"s"} },
		"accounts":            func(p *turmericshed.Profile) { p.Accounts = nil },
		"stands twice":        func(p *turmericshed.Profile) { p.Accounts = append(p.Accounts, p.Accounts[0]) },
		"burst":               func(p *turmericshed.Profile) { p.Accounts[0].Burst = -1 },
		"requests_per_second": func(p *turmericshed.Profile) { p.Accounts[0].RequestsPerSecond = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			p := validProfile()
			change(&p)
			err := tsadmin.ValidateProfile(p)
			assertKind(t, err, turmericshed.KindBadRequest)
			assert.ErrorContains(t, err, field)
		})
	}
}

// Guards against documents that change absent fields, merge lists, or change the base
// although they are rejected.
func TestDecodeProfile(t *testing.T) {
	base := validProfile()
	t.Run("omitted fields keep their values", func(t *testing.T) {
		p, err := tsadmin.DecodeProfile([]byte(`{"prepaid": 7, "cut_bridge": "90s"}`), base)
		assert.NilError(t, err)
		want := base
		want.Prepaid, want.PartitionTolerance = 7, turmericshed.Duration(90*time.Second)
		assert.DeepEqual(t, p, want)
	})
	t.Run("a list is replaced as a whole", func(t *testing.T) {
		base := base
		base.Accounts = []turmericshed.AccountLimit{{Account: "a1", Burst: 5}, {Account: "a2"}}
		p, err := tsadmin.DecodeProfile([]byte(`{"accounts": [{"account": "a3"}]}`), base)
		assert.NilError(t, err)
		assert.DeepEqual(t, p.Accounts, []turmericshed.AccountLimit{{Account: "a3"}})
		assert.Equal(t, base.Accounts[0].Burst, 5)
	})
	for name, text := range map[string]string{
		"an unknown field": `{"prepayd": 1}`, "text after": `{} {}`, "not JSON": `{`, "not UTF-8": "{\"name\": \"\xff\"}",
		"a fraction of a token": `{"prepaid": 1.5}`, "a bad duration": `{"cut_bridge": "soon"}`,
	} {
		t.Run(name, func(t *testing.T) {
			p, err := tsadmin.DecodeProfile([]byte(text), base)
			assertKind(t, err, turmericshed.KindBadRequest)
			assert.DeepEqual(t, p, base)
		})
	}
}

// Checks that a document that decodes and validates is within the bounds.
func FuzzDecodeProfile(f *testing.F) {
	f.Add([]byte(`{"name":"counter","prepaid":10,"work":"assistant","accounts":[{"account":"a"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		p, err := tsadmin.DecodeProfile(text, turmericshed.Profile{})
		if err != nil || tsadmin.ValidateProfile(p) != nil {
			return
		}
		assert.Assert(t, p.Prepaid >= 0 && len(p.Accounts) > 0 && !strings.Contains(string(p.Name), "/"))
	})
}
