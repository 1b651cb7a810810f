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
	// maxLogLineBytes bounds a line of a log file; a longer line is an error.
	maxLogLineBytes = 1 << 20
	// requestLineMarker occurs in log lines about requests. These are numerous, so
	// readLog skips those that do not contain the id.
	requestLineMarker = `"msg":"relay: `
)

// runExplain prints the log lines that concern an id in time order. It returns an
// error of KindNotFound if no line names the id.
func runExplain(ctx context.Context, args []string, out, errOut io.Writer) error {
	o, err := parseExplain(args, errOut)
	if err != nil {
		return err
	}
	lines, err := readLogs(ctx, o)
	if err != nil {
		return err
	}
	parts := tsstory.Tell(lines, o.id)
	if len(parts) == 0 {
		return turmericshed.NewError(turmericshed.KindNotFound, "no line of the logs names %q", o.id)
	}
	for _, p := range parts {
		if _, err := fmt.Fprintln(out, p); err != nil {
			return err
		}
	}
	return nil
}

// readLogs reads the log files, or standard input if there are none, and returns the
// parsed lines that may concern the id.
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

// readLog appends the parsed lines of r that may concern the id to lines. It returns
// an error of KindCanceled if ctx is done.
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
