package tslimit_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
	"turmericshed/core/tslimit"
)

var epoch = time.Unix(1_800_000_000, 0)

// at returns the time ms milliseconds after epoch.
func at(ms int) time.Time { return epoch.Add(time.Duration(ms) * time.Millisecond) }

// notice returns the limit in an answer of the server. The request was sent and
// the answer received at the given milliseconds after epoch.
func notice(perSecond float64, sentMillis, receivedMillis int) turmericshed.LimitNotice {
	return turmericshed.LimitNotice{Server: "s", Started: epoch, PerSecond: perSecond, RequestSentAt: at(sentMillis), AnswerReceivedAt: at(receivedMillis)}
}

func newBook(notices ...turmericshed.LimitNotice) *tslimit.Book {
	b := &tslimit.Book{}
	b.SetServers(epoch, []turmericshed.BackendServer{{ID: "s", Started: epoch}})
	for _, n := range notices {
		b.ApplyNotice(n)
	}
	return b
}

func assertRate(t *testing.T, b *tslimit.Book, want float64) {
	t.Helper()
	got, limited := b.Rate("s")
	assert.Equal(t, got, want)
	assert.Equal(t, limited, want > 0)
}

func TestBook(t *testing.T) {
	for name, c := range map[string]struct {
		notices []turmericshed.LimitNotice
		want    float64
	}{
		"a limit applies from the answer that announces it":               {notices: []turmericshed.LimitNotice{notice(2, 0, 10)}, want: 2},
		"an answer without a limit to a later request ends it":            {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(0, 20, 30)}},
		"an answer without a limit to an earlier request does not end it": {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(0, 5, 30)}, want: 2},
		"an old answer with the limit does not restore it":                {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(0, 20, 30), notice(2, 2, 12)}},
		"a lower limit applies at once":                                   {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(1, 0, 12)}, want: 1},
		"a higher limit from an overlapping request is ignored":           {notices: []turmericshed.LimitNotice{notice(1, 0, 10), notice(2, 5, 12)}, want: 1},
		"a higher limit from a later request applies":                     {notices: []turmericshed.LimitNotice{notice(1, 0, 10), notice(2, 11, 12)}, want: 2},
		"a late notice of an end before the last stated limit is ignored": {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(2, 40, 50), notice(0, 20, 60)}, want: 2},
		"an answer without a limit changes nothing if there was none":     {notices: []turmericshed.LimitNotice{notice(0, 0, 10)}},
	} {
		t.Run(name, func(t *testing.T) { assertRate(t, newBook(c.notices...), c.want) })
	}
	t.Run("a restarted server does not inherit the limit", func(t *testing.T) {
		b := newBook(notice(2, 0, 10))
		b.SetServers(at(500), []turmericshed.BackendServer{{ID: "s", Started: at(500)}})
		assertRate(t, b, 0)
		assert.Assert(t, !b.ApplyNotice(notice(2, 0, 10)), "an answer of the old process counts")
	})
	t.Run("a limit survives a lapsed list entry", func(t *testing.T) {
		b := newBook(notice(2, 0, 10))
		b.SetServers(at(1000), nil)
		b.SetServers(at(5000), []turmericshed.BackendServer{{ID: "s", Started: epoch}})
		assertRate(t, b, 2)
	})
	t.Run("the limit of a server that stays unlisted is removed", func(t *testing.T) {
		b := newBook(notice(2, 0, 10))
		b.SetServers(at(100_000), nil)
		assert.Assert(t, !b.HasNotice("s"))
	})
	t.Run("a notice for an unlisted server is ignored", func(t *testing.T) {
		assert.Assert(t, !(&tslimit.Book{}).ApplyNotice(notice(2, 0, 10)))
	})
	t.Run("the end of a limit is sent for a limited time and then removed", func(t *testing.T) {
		b := newBook(notice(2, 0, 10), notice(0, 20, 30))
		assert.Equal(t, len(b.Notices(at(1000))), 1)
		assert.Equal(t, len(b.Notices(at(60_000))), 0)
		assert.Assert(t, !b.HasNotice("s"))
	})
}
