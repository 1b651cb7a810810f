// Package tsstory collects, from the log lines of many entry VMs, those that concern
// one request, server, client account or version of the routing table.
//
// The story of a request consists of the lines that name it and, from the entry VM
// that served it, the state on which its decision was based: the routing table in
// force, whether the store was reachable, the tokens of its account, and the state
// of its server. Lines may be given in any order and from any number of files.
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

// Line is one parsed log line.
type Line struct {
	At      time.Time
	VM      string
	Message string
	// Values holds the other attributes, formatted as text.
	Values map[string]string
}

// Names of the attributes that every line has. They are not in Line.Values.
const (
	timeKey    = "time"
	messageKey = "msg"
	levelKey   = "level"
	vmKey      = "vm"
)

// Parse parses a JSON log line. Text before the first brace, such as a log collector's
// prefix, is skipped. It returns false if the text is not a JSON log line.
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

// String formats the line with its attributes sorted by name. Empty attributes are
// omitted.
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
