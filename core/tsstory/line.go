// Package tsstory puts together what the log lines of many entry VMs tell of
// one request, server, client account or version of the routing table.
//
// A request's story is its own lines and, from the entry VM that served it,
// what was believed when it was decided: the routing table in force, whether
// the store was reached, the tokens of its account, the state of its server.
// The lines come in any order, from any number of files.
//
// # Usage
//
//	for scanner.Scan() {
//		if l, ok := tsstory.Parse(scanner.Text()); ok {
//			lines = append(lines, l)
//		}
//	}
//	for _, p := range tsstory.Tell(lines, "5c9a...") {
//		fmt.Println(p)
//	}
package tsstory

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Line is one log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	// Values are the other attributes, as text.
	Values map[string]string
}

// The attributes that every line has.
const (
	timeKey    = "time"
	messageKey = "msg"
	levelKey   = "level"
	vmKey      = "vm"
)

// Parse reads a JSON log line; what stands before the first brace, such as a
// collector's prefix, is skipped. It reports false for anything else.
func Parse(text string) (Line, bool) {
	start := strings.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false
	}
	d := json.NewDecoder(strings.NewReader(text[start:]))
	d.UseNumber()
	var doc map[string]any
	if d.Decode(&doc) != nil {
		return Line{}, false
	}
	l := Line{Values: make(map[string]string, len(doc))}
	at, _ := doc[timeKey].(string)
	var err error
	if l.At, err = time.Parse(time.RFC3339Nano, at); err != nil {
		return Line{}, false
	}
	l.Message, _ = doc[messageKey].(string)
	l.VM, _ = doc[vmKey].(string)
	for k, v := range doc {
		switch k {
		case timeKey, messageKey, levelKey, vmKey:
		default:
			l.Values[k] = fmt.Sprint(v)
		}
	}
	return l, true
}

// String returns the line in the order of its attributes' names; empty ones
// are left out.
func (l Line) String() string {
	keys := make([]string, 0, len(l.Values))
	for k, v := range l.Values {
		if v != "" {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %s", l.At.UTC().Format("15:04:05.000"), l.VM, l.Message)
	for _, k := range keys {
		fmt.Fprintf(&b, " %s=%q", k, l.Values[k])
	}
	return b.String()
}
