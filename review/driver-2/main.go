//go:build review2

// Command driver-2 runs the scripts of the second review: it starts the project's gateways as
// processes, and the store, the servers and the clients as stand-ins.
//
// # Usage
//
//	driver-2 -case NAME -binary target/turmericshed -record review/N/record.txt
//
// It exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment it leaves the disruption out.
package main

import (
	"flag"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// maxRunTime is the time after which a case is given up; a script has 120 seconds.
const maxRunTime = 110 * time.Second

// cases are the cases by name. Each returns whether the rule was broken.
var cases = map[string]func(w *world, trouble bool) (broken bool, err error){}

func main() { os.Exit(run()) }

func run() int {
	name := flag.String("case", "", "the case")
	binary := flag.String("binary", "target/turmericshed", "the program of the deploy file")
	recordPath := flag.String("record", "record.txt", "the record to write")
	keep := flag.String("logs", "", "a folder to keep the logs of the processes in")
	flag.Parse()
	f, found := cases[*name]
	if !found {
		fmt.Fprintf(os.Stderr, "unknown case %q\n", *name)
		return 2
	}
	rec, err := newRecord(*recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = rec.close() }()
	dir := *keep
	if dir == "" {
		if dir, err = os.MkdirTemp("", "review-2-"); err != nil {
			fmt.Fprintln(os.Stderr, err)
			return 2
		}
		defer func() { _ = os.RemoveAll(dir) }()
	}
	path, err := filepath.Abs(*binary)
	if err == nil {
		_, err = os.Stat(path)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w, err := newWorld(rec, dir, path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	type result struct {
		broken bool
		err    error
	}
	results := make(chan result, 1)
	go func() {
		broken, err := f(w, os.Getenv("TROUBLE") != "0")
		results <- result{broken, err}
	}()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	select {
	case <-signals:
		rec.add("interrupted")
		return 2
	case <-time.After(maxRunTime):
		rec.add("not run: still at work after %s", maxRunTime)
		return 2
	case r := <-results:
		switch {
		case r.err != nil:
			rec.add("not run: %v", r.err)
			fmt.Fprintln(os.Stderr, r.err)
			return 2
		case r.broken:
			rec.add("result: the rule was broken")
			return 1
		default:
			rec.add("result: the rule held")
			return 0
		}
	}
}
