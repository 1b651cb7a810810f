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
func notice(perSecond float64, asked, heard int) turmericshed.LimitNotice {
	return turmericshed.LimitNotice{Server: "s", Started: epoch, PerSecond: perSecond, Asked: at(asked), Heard: at(heard)}
}

func newBook(notices ...turmericshed.LimitNotice) *tslimit.Book {
	b := &tslimit.Book{}
	b.SetServers(epoch, []turmericshed.BackendServer{{ID: "s", Started: epoch}})
	for _, n := range notices {
		b.Note(n)
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
		"a limit holds from its naming":                              {notices: []turmericshed.LimitNotice{notice(2, 0, 10)}, want: 2},
		"an answer without it, asked for later, ends it":             {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(0, 20, 30)}},
		"one that was begun before the naming does not":              {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(0, 5, 30)}, want: 2},
		"an old naming does not outlive the end":                     {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(0, 20, 30), notice(2, 2, 12)}},
		"a lower limit holds at once":                                {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(1, 0, 12)}, want: 1},
		"a higher one must be surely newer":                          {notices: []turmericshed.LimitNotice{notice(1, 0, 10), notice(2, 5, 12)}, want: 1},
		"a higher one that is":                                       {notices: []turmericshed.LimitNotice{notice(1, 0, 10), notice(2, 11, 12)}, want: 2},
		"an end that is heard late, of answers before the last name": {notices: []turmericshed.LimitNotice{notice(2, 0, 10), notice(2, 40, 50), notice(0, 20, 60)}, want: 2},
		"without a limit nothing ends":                               {notices: []turmericshed.LimitNotice{notice(0, 0, 10)}},
	} {
		t.Run(name, func(t *testing.T) { assertRate(t, newBook(c.notices...), c.want) })
	}
	t.Run("a new start of the server owes nothing to the old one", func(t *testing.T) {
		b := newBook(notice(2, 0, 10))
		b.SetServers(at(500), []turmericshed.BackendServer{{ID: "s", Started: at(500)}})
		assertRate(t, b, 0)
		assert.Assert(t, !b.Note(notice(2, 0, 10)), "an answer of the old process counts")
	})
	t.Run("an entry that lapses does not lift it", func(t *testing.T) {
		b := newBook(notice(2, 0, 10))
		b.SetServers(at(1000), nil)
		b.SetServers(at(5000), []turmericshed.BackendServer{{ID: "s", Started: epoch}})
		assertRate(t, b, 2)
	})
	t.Run("a server that stays away is forgotten", func(t *testing.T) {
		b := newBook(notice(2, 0, 10))
		b.SetServers(at(100_000), nil)
		assert.Assert(t, !b.Knows("s"))
	})
	t.Run("servers that are not listed have none", func(t *testing.T) {
		assert.Assert(t, !(&tslimit.Book{}).Note(notice(2, 0, 10)))
	})
	t.Run("an end is told for a while and then forgotten", func(t *testing.T) {
		b := newBook(notice(2, 0, 10), notice(0, 20, 30))
		assert.Equal(t, len(b.Notices(at(1000))), 1)
		assert.Equal(t, len(b.Notices(at(60_000))), 0)
		assert.Assert(t, !b.Knows("s"))
	})
}
