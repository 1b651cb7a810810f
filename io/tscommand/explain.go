package tscommand

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"turmericshed"
	"turmericshed/core/tsstory"
)

const (
	// maxLogLine bounds a line of a log file; longer ones end the reading.
	maxLogLineBytes = 1 << 20
	// requestLines is in the lines about requests, which are many and only of
	// use where they name the id.
	requestLineMarker = `"msg":"relay: `
)

// runExplain prints the story of an id.
func runExplain(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseExplain(args, errOut)
	if err != nil {
		return err
	}
	lines, err := readLogs(ctx, o)
	if err != nil {
		return err
	}
	story := tsstory.Tell(lines, o.id)
	if len(story) == 0 {
		return turmericshed.NewError(turmericshed.KindNotFound, "no line of the logs names %q", o.id)
	}
	for _, p := range story {
		if _, err := fmt.Fprintln(out, p); err != nil {
			return err
		}
	}
	return nil
}

// readLogs reads the lines that may belong to the id's story.
func readLogs(ctx context.Context, o explainOptions) ([]tsstory.Line, error) {
	if len(o.files) == 0 {
		return readLog(ctx, os.Stdin, o.id, nil)
	}
	var lines []tsstory.Line
	for _, path := range o.files {
		f, err := os.Open(path)
		if err != nil {
			return nil, &SettingError{Setting: "explain", Value: path, Want: fmt.Sprintf("a log file that can be read (%v)", err)}
		}
		lines, err = readLog(ctx, f, o.id, lines)
		if err = errors.Join(err, f.Close()); err != nil {
			return nil, turmericshed.WrapError(turmericshed.KindInternal, err, "%s", path)
		}
	}
	return lines, nil
}

func readLog(ctx context.Context, r io.Reader, id string, lines []tsstory.Line) ([]tsstory.Line, error) {
	s := bufio.NewScanner(r)
	s.Buffer(nil, maxLogLineBytes)
	for s.Scan() {
		if ctx.Err() != nil {
			return nil, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "explain")
		}
		text := s.Text()
		if strings.Contains(text, requestLineMarker) && !strings.Contains(text, id) {
			continue
		}
		if l, ok := tsstory.Parse(text); ok {
			lines = append(lines, l)
		}
	}
	return lines, s.Err()
}
