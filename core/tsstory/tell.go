package tsstory

import (
	"slices"
	"strconv"
	"strings"
	"time"
)

const (
	// budgetLookback and serverLookback are the times before a request within which
	// lines about its account's tokens and its server are included.
	budgetLookback = 5 * time.Second
	serverLookback = 10 * time.Second
	// maxBudgetLines bounds the number of lines about the account's tokens.
	maxBudgetLines = 5
)

// AnnotatedLine is a line of a story with the reason for including it.
type AnnotatedLine struct {
	Line
	Why string
}

// String formats the line, followed by the reason.
func (p AnnotatedLine) String() string { return p.Line.String() + "  <- " + p.Why }

// idKeys lists the attributes that may hold the id of a story, with the reason given
// for lines that match. A version id is matched separately, since it refers to the
// routing table.
var idKeys = []struct{ key, what string }{
	{"request", "the request"},
	{"server", "the server"},
	{"account", "the account"},
	{"profile", "the account"},
	{"lot", "the lot"},
	{"incarnation", "the process"},
	{"name", "the entry VM"},
}

// Tell returns the story of an id, sorted by time. The id is that of a request,
// server, account, lot, process or entry VM, or "version N" for a version of the
// routing table. The story is empty if no line names the id.
func Tell(lines []Line, id string) []AnnotatedLine {
	lines = slices.Clone(lines)
	slices.SortStableFunc(lines, func(a, b Line) int { return a.At.Compare(b.At) })
	var story []AnnotatedLine
	for i, l := range lines {
		what, ok := matchID(l, id)
		if !ok {
			continue
		}
		if what == "the request" {
			story = append(story, contextOf(lines[:i], l)...)
		}
		story = append(story, AnnotatedLine{Line: l, Why: what})
	}
	return dedupe(story)
}

// matchID reports whether a line concerns the id, and the reason for including it.
func matchID(l Line, id string) (string, bool) {
	for _, k := range idKeys {
		if l.Values[k.key] == id {
			return k.what, true
		}
	}
	if l.VM == id && (l.Message == "serving" || l.Message == "stopped" || isStoreStatus(l.Message)) {
		return "the entry VM", true
	}
	if version, ok := strings.CutPrefix(id, "version "); ok && strings.HasSuffix(l.Message, "routing table in force") {
		return "the version", l.Values["version"] == version || l.Values["before"] == version
	}
	return "", false
}

// contextOf returns the state of the entry VM when it decided about request r: the last
// relevant lines among those before it.
func contextOf(before []Line, r Line) []AnnotatedLine {
	began := r.At
	if ms, err := strconv.Atoi(r.Values["elapsed_ms"]); err == nil {
		began = began.Add(-time.Duration(ms) * time.Millisecond)
	}
	var parts []AnnotatedLine
	seen := make(map[string]bool)
	addOnce := func(l Line, key, why string) {
		if !seen[key] {
			seen[key] = true
			parts = append(parts, AnnotatedLine{Line: l, Why: why})
		}
	}
	tokens := 0
	for i := len(before) - 1; i >= 0; i-- {
		l := before[i]
		if l.VM != r.VM {
			continue
		}
		switch {
		case strings.HasSuffix(l.Message, "routing table in force"):
			addOnce(l, "table", "the routing table then")
		case isStoreStatus(l.Message):
			addOnce(l, "store "+l.Values["prefix"], "the view of the store then")
		case strings.HasSuffix(l.Message, "store_lost"), strings.HasSuffix(l.Message, "store_back"):
			addOnce(l, "ledgers", "whether ledgers could be written")
		case l.Message == "serving":
			addOnce(l, "serving", "the process that served it")
		case l.Values["profile"] != "" && l.Values["profile"] == r.Values["account"]:
			if began.Sub(l.At) <= budgetLookback && tokens < maxBudgetLines {
				tokens++
				parts = append(parts, AnnotatedLine{Line: l, Why: "the account's tokens"})
			}
		case l.Values["server"] != "" && l.Values["server"] == r.Values["server"] && l.Values["request"] == "":
			if began.Sub(l.At) <= serverLookback {
				parts = append(parts, AnnotatedLine{Line: l, Why: "the server's state"})
			}
		}
	}
	return parts
}

// dedupe sorts a story by time and drops repeated lines. Of a repeated line the first
// reason is retained.
func dedupe(story []AnnotatedLine) []AnnotatedLine {
	slices.SortStableFunc(story, func(a, b AnnotatedLine) int { return a.At.Compare(b.At) })
	seen := make(map[string]bool, len(story))
	return slices.DeleteFunc(story, func(p AnnotatedLine) bool {
		key := p.Line.String()
		isRepeated := seen[key]
		seen[key] = true
		return isRepeated
	})
}

// isStoreStatus reports whether a message states that an entry VM lost the store or
// read from it again.
func isStoreStatus(msg string) bool {
	return strings.HasSuffix(msg, "store lost") || strings.HasSuffix(msg, "store read") || strings.HasSuffix(msg, "store back")
}
