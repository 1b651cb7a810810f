// Package tslimit decides how the entry VMs keep together to the limits that
// backend servers name in their answers. It is pure: time and randomness come
// in, and callers serialize access.
//
// # Usage
//
//	var b tslimit.Book
//	b.SetServers(now, servers)
//	changed := b.Note(notice)
//	rate, limited := b.Rate(id)
//	tell(b.Notices(now))
package tslimit

import (
	"cmp"
	"slices"
	"time"

	"turmericshed"
)

const (
	// Transit is the time that a call between entry VMs is taken to have been on
	// its way at most. Where it was longer, a limit may count as ended until the
	// next answer that names it.
	Transit = 300 * time.Millisecond
	// endedNoticeLife is how long the end of a limit is told to others.
	endedNoticeLife = 10 * time.Second
	// unlistedLife is how long a limit is remembered of a server that is not
	// listed.
	unlistedLife = time.Minute
	// maxNotices bounds the limits that are told at once.
	maxNotices = 32
)

// Book is what one entry VM knows of servers' limits. The zero value knows no
// servers.
//
// Answers overtake each other, on connections to one server and on their way
// through other entry VMs. A notice is surely newer than another one only if
// its request was sent after the other's answer came. Of two that may have been
// made in any order the lower limit holds.
type Book struct {
	startTimes map[turmericshed.ServerID]time.Time
	notices    map[turmericshed.ServerID]turmericshed.LimitNotice
}

// SetServers replaces the listed servers. What is known of earlier processes of
// the same servers is forgotten, and of those that are not listed after a time,
// since entries also lapse while the store is away.
func (b *Book) SetServers(now time.Time, list []turmericshed.BackendServer) {
	b.startTimes = make(map[turmericshed.ServerID]time.Time, len(list))
	for _, s := range list {
		b.startTimes[s.ID] = s.Started
	}
	for id, n := range b.notices {
		at, listed := b.startTimes[id]
		if (listed && !at.Equal(n.Started)) || (!listed && now.Sub(n.Heard) > unlistedLife) {
			delete(b.notices, id)
		}
	}
}

// Note takes a notice and reports whether it changes the limit.
func (b *Book) Note(n turmericshed.LimitNotice) (changed bool) {
	if at, ok := b.startTimes[n.Server]; !ok || !at.Equal(n.Started) {
		return false
	}
	cur, ok := b.notices[n.Server]
	switch {
	case !ok && n.PerSecond == 0, ok && n.Heard.Before(cur.Asked):
		return false
	case ok && n.PerSecond == cur.PerSecond:
		n.Asked, n.Heard = later(n.Asked, cur.Asked), later(n.Heard, cur.Heard)
	case !ok || n.Asked.After(cur.Heard):
		changed = true
	case isStricter(n.PerSecond, cur.PerSecond):
		n.Heard = later(n.Heard, cur.Heard)
		changed = true
	default:
		return false
	}
	if b.notices == nil {
		b.notices = make(map[turmericshed.ServerID]turmericshed.LimitNotice)
	}
	b.notices[n.Server] = n
	return changed
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// isStricter reports whether limit a lets less through than b; 0 is no limit.
func isStricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// Rate returns a server's limit in requests a second.
func (b *Book) Rate(id turmericshed.ServerID) (perSecond float64, limited bool) {
	n := b.notices[id]
	return n.PerSecond, n.PerSecond > 0
}

// Knows reports whether anything is known of the server's limit, its end
// included.
func (b *Book) Knows(id turmericshed.ServerID) bool {
	_, ok := b.notices[id]
	return ok
}

// Limited returns how many servers have a limit.
func (b *Book) Limited() int {
	n := 0
	for _, k := range b.notices {
		if k.PerSecond > 0 {
			n++
		}
	}
	return n
}

// Notice returns what is known of one server.
func (b *Book) Notice(id turmericshed.ServerID) (turmericshed.LimitNotice, bool) {
	n, ok := b.notices[id]
	return n, ok
}

// Notices returns what other entry VMs should know, the newest first, and
// forgets limits that ended a while ago.
func (b *Book) Notices(now time.Time) []turmericshed.LimitNotice {
	var list []turmericshed.LimitNotice
	for id, n := range b.notices {
		if n.PerSecond == 0 && now.Sub(n.Heard) > endedNoticeLife {
			delete(b.notices, id)
			continue
		}
		list = append(list, n)
	}
	slices.SortFunc(list, func(a, b turmericshed.LimitNotice) int {
		return cmp.Or(b.Heard.Compare(a.Heard), cmp.Compare(a.Server, b.Server))
	})
	return list[:min(len(list), maxNotices)]
}
