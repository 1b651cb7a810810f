package tscommand_test

import (
	"bytes"
	"encoding/json"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tspoison"
	"turmericshed/io/tsadmin"
	"turmericshed/io/tscalls"
	"turmericshed/io/tscommand"
	"turmericshed/io/tsquarantine"
	"turmericshed/io/tsreport"
	"turmericshed/standin/tsplatform"
)

// platform is a stand-in platform that serves HTTP on a loopback address.
type platform struct {
	t     *testing.T
	store *tsplatform.Store
	addr  string
}

func newPlatform(t *testing.T) *platform {
	store := tsplatform.NewStore(tsplatform.Options{})
	srv := httptest.NewServer(tsplatform.NewServer(store, tsplatform.NewDirectory(tsplatform.DirectoryOptions{})))
	t.Cleanup(srv.Close)
	return &platform{t: t, store: store, addr: strings.TrimPrefix(srv.URL, "http://")}
}

// run runs a subcommand and returns its exit code and output.
func (p *platform) run(args ...string) (int, string) {
	var out bytes.Buffer
	code := tscommand.Main(p.t.Context(), append(args, "-platform-addr", p.addr, "-operator", "amina"), &out, &out)
	return code, out.String()
}

// assertRun checks that a subcommand succeeds and that its output contains want.
func (p *platform) assertRun(want string, args ...string) {
	p.t.Helper()
	code, out := p.run(args...)
	assert.Equal(p.t, code, 0, out)
	assert.Assert(p.t, strings.Contains(out, want), "%q is not in %q", want, out)
}

// putInDoubt claims and dispatches a call, and then puts it in doubt.
func (p *platform) putInDoubt(key string) {
	p.t.Helper()
	c := tscalls.New(tscalls.Config{Store: p.store, Self: turmericshed.EntryVM{Incarnation: "in"}})
	d, err := c.Claim(p.t.Context(), turmericshed.Call{Account: "corner", Profile: "desk", Service: "bookings", Key: key, Digest: "d"})
	assert.NilError(p.t, err)
	assert.NilError(p.t, c.Dispatch(d.Claim))
	assert.NilError(p.t, c.MarkInDoubt(p.t.Context(), d.Claim, "no answer"))
}

func TestDoubts(t *testing.T) {
	p := newPlatform(t)
	p.putInDoubt("k1")
	p.putInDoubt("k2")
	t.Run("list shows a call in doubt", func(t *testing.T) { p.assertRun("k1", "doubts", "list") })
	t.Run("settles a call as ran", func(t *testing.T) {
		p.assertRun("settled as ran", "doubts", "settle", "-account", "corner", "-key", "k1", "-as", "ran", "-status", "201")
	})
	t.Run("settles a call as not run", func(t *testing.T) {
		p.assertRun("settled as not_run", "doubts", "settle", "-account", "corner", "-key", "k2", "-as", "not_run")
	})
	t.Run("rejects a second settlement", func(t *testing.T) {
		code, _ := p.run("doubts", "settle", "-account", "corner", "-key", "k1", "-as", "not_run")
		assert.Equal(t, code, 1)
	})
	t.Run("rejects an unknown outcome", func(t *testing.T) {
		code, out := p.run("doubts", "settle", "-account", "corner", "-key", "k1", "-as", "maybe")
		assert.Equal(t, code, 2)
		assert.Assert(t, strings.Contains(out, `-as="maybe"`), out)
	})
	t.Run("list is empty when every call is settled", func(t *testing.T) { p.assertRun("none", "doubts", "list") })
}

func TestQuarantine(t *testing.T) {
	p := newPlatform(t)
	now := time.Now()
	assert.NilError(t, tsquarantine.MergeIntoStore(t.Context(), p.store, tspoison.Evidence{
		Digest: "abc", Crashes: []tspoison.Crash{{Server: "s1", At: now.Add(-time.Minute)}, {Server: "s2", At: now}},
	}))
	t.Run("list shows an active quarantine", func(t *testing.T) { p.assertRun("barred", "quarantine", "list") })
	t.Run("lift ends a quarantine", func(t *testing.T) {
		p.assertRun("lifted", "quarantine", "lift", "-digest", "abc")
		p.assertRun("lifted: amina", "quarantine", "list")
	})
	t.Run("rejects an unknown digest", func(t *testing.T) {
		code, _ := p.run("quarantine", "lift", "-digest", "xyz")
		assert.Equal(t, code, 1)
	})
}

func TestReport(t *testing.T) {
	p := newPlatform(t)
	p.putInDoubt("k1")
	p.putInDoubt("k2")
	p.assertRun("ran", "doubts", "settle", "-account", "corner", "-key", "k1", "-as", "ran")
	admin := tsadmin.New(tsadmin.Config{Store: p.store, Operator: "amina"})
	_, err := admin.PutProfile(t.Context(), turmericshed.Profile{
		Name: "desk", Prepaid: 500, Work: turmericshed.WorkService, Services: []string{"bookings"}, CallCost: 1,
		Accounts: []turmericshed.AccountLimit{{Account: "corner"}},
	}, 0)
	assert.NilError(t, err)
	code, out := p.run("report", "-format", "json")
	assert.Equal(t, code, 0, out)
	var rep tsreport.Report
	assert.NilError(t, json.Unmarshal([]byte(out), &rep))
	t.Run("remaining budgets", func(t *testing.T) {
		assert.Equal(t, len(rep.Budgets), 1)
		assert.Equal(t, rep.Budgets[0].Left, turmericshed.Tokens(500))
	})
	t.Run("placed jobs and jobs in doubt", func(t *testing.T) {
		assert.DeepEqual(t, rep.Jobs, []tsreport.JobCounts{{Profile: "desk", Service: "bookings", Placed: 1, Resolved: 1, InDoubt: 1}})
		assert.Equal(t, len(rep.InDoubt), 1)
		assert.Equal(t, rep.InDoubt[0].Key, "k2")
	})
	t.Run("faults before the start of the report are excluded", func(t *testing.T) {
		at := time.Now()
		rep, err := tsreport.Build(t.Context(), tsreport.Config{Store: p.store, Admin: admin, From: at, Events: []turmericshed.Event{
			{Name: turmericshed.EventMemberGone, Wall: at.Add(-time.Hour), Member: "vm-1"},
			{Name: turmericshed.EventMemberGone, Wall: at.Add(time.Hour), Member: "vm-2"},
			{Name: turmericshed.EventRequestReceived, Wall: at.Add(time.Hour)},
		}})
		assert.NilError(t, err)
		assert.Equal(t, len(rep.Faults), 1)
		assert.Equal(t, rep.Faults[0].Count, 1)
		assert.DeepEqual(t, rep.Faults[0].Subjects, []string{"vm-2"})
	})
	t.Run("text format", func(t *testing.T) { p.assertRun("IN DOUBT", "report") })
}
