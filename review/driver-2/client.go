//go:build review2

package main

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// ask is one client attempt.
type ask struct {
	id, path, body string
	timeLimit      time.Duration
	header         map[string]string
}

// answer is what the client got.
type answer struct {
	status int
	header http.Header
	body   string
	// events are the complete events of a stream, isWhole is true if the answer did not break off.
	events  []string
	isWhole bool
	err     error
	sentAt  time.Time
	took    time.Duration
}

// send sends one client attempt to a machine and reads the answer.
func (m *machine) send(a ask) (got answer) {
	ctx, cancel := context.WithTimeout(context.Background(), a.timeLimit+callerSlack)
	defer cancel()
	got.sentAt = time.Now()
	defer func() { got.took = time.Since(got.sentAt) }()
	method := http.MethodPost
	if a.body == "" {
		method = http.MethodGet
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+m.front+a.path, strings.NewReader(a.body))
	if err != nil {
		got.err = err
		return got
	}
	r.Host = hostName
	r.Header.Set("Attempt-Id", a.id)
	r.Header.Set("Deadline-Remaining", strconv.FormatInt(a.timeLimit.Milliseconds(), 10))
	r.Header.Set("Credential", keyOfTenant)
	for k, v := range a.header {
		r.Header.Set(k, v)
	}
	resp, err := m.client.Do(r)
	if err != nil {
		got.err = err
		return got
	}
	defer func() { _ = resp.Body.Close() }()
	got.status, got.header = resp.StatusCode, resp.Header
	var event, all strings.Builder
	for br := bufio.NewReader(resp.Body); ; {
		line, err := br.ReadString('\n')
		event.WriteString(line)
		all.WriteString(line)
		if line == "\n" {
			got.events = append(got.events, event.String())
			event.Reset()
		}
		if err != nil {
			got.isWhole, got.body = err == io.EOF, all.String()
			if err != io.EOF {
				got.err = err
			}
			return got
		}
	}
}
