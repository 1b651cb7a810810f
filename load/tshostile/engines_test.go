package tshostile_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

const (
	oddProfile = `{"name":"odd","prepaid":1000000000000,"accounts":[{"account":"corner_1"}],"work":"assistant","model":"odd-8b"}`
	// heartbeatInterval is the time between the announcements of an engine.
	heartbeatInterval = 500 * time.Millisecond
	// tokenCounts is the path at which engines count the tokens of a prompt.
	tokenCounts = "/v1/tokenize"
)

// runOddEngine lets a crowd of callers ask an engine of the program entry that answers each call in
// its own way, and checks the limits of the entry process. If countsTokens is true, the engine counts
// the tokens of prompts properly.
func runOddEngine(t *testing.T, countsTokens bool, answer func(c net.Conn)) {
	e := startEntry(t)
	e.run(oddProfile, "profile", "put", "-file", "-")
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if countsTokens && r.URL.Path == tokenCounts {
			_, _ = io.WriteString(w, `{"count":10}`)
			return
		}
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		answer(c)
	})}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() { _ = srv.Close() })
	e.announce(t, turmericshed.BackendServer{
		ID: "odd-1", FailureDomain: "a", Addr: netip.MustParseAddrPort(ln.Addr().String()), Work: turmericshed.WorkAssistant, Models: []turmericshed.Model{"odd-8b"}, Slots: 1000,
	})
	time.Sleep(settlePeriod)
	body := chat(entryChatBytes)
	e.runCrowd(entryCallers, func(int) [][]byte {
		head := bytes.Replace(e.lengthHead(e.keys[0], len(body)), []byte("Profile: counter"), []byte("Profile: odd"), 1)
		return [][]byte{head, body}
	})
}

// announce announces an engine to the platform until the test ends.
func (e *entry) announce(t *testing.T, s turmericshed.BackendServer) {
	t.Helper()
	doc, err := json.Marshal(s)
	assert.NilError(t, err)
	post := func() error {
		resp, err := http.Post("http://"+e.platform+"/v1/vms/servers", "application/json", bytes.NewReader(doc)) //nolint:noctx // loopback, in a test.
		if err != nil {
			return err
		}
		return resp.Body.Close()
	}
	assert.NilError(t, post())
	ticker := time.NewTicker(heartbeatInterval)
	t.Cleanup(ticker.Stop)
	go func() {
		for range ticker.C {
			_ = post()
		}
	}()
}

// endlessEngine answers with a head and the piece without an end.
func endlessEngine(head string, piece []byte) func(c net.Conn) {
	return func(c net.Conn) {
		_, _ = io.WriteString(c, head)
		writeEndless(c, piece)
	}
}

// Guards against holding answers of engines that never end in the program entry.
func TestEntryEndlessAnswersOfServers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
	letters := bytes.Repeat([]byte("x"), 64<<10)
	line := append(append([]byte("X-Line: "), letters[:1000]...), "\r\n"...)
	for name, c := range map[string]struct {
		countsTokens bool
		head         string
		piece        []byte
	}{
		"bodies":              {false, head + "\r\n", letters},
		"chunks":              {false, head + "Transfer-Encoding: chunked\r\n\r\n", chunked(64<<10, 64<<10)},
		"heads":               {false, head, bytes.Repeat(line, 16)},
		"informational heads": {false, "", bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), 100)},
		"events":              {true, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: ", letters},
	} {
		t.Run(name, func(t *testing.T) { runOddEngine(t, c.countsTokens, endlessEngine(c.head, c.piece)) })
	}
}

// Guards against holding trailers, chunk extensions and informational answers that never end.
func TestEndlessFramingOfServers(t *testing.T) {
	letters := bytes.Repeat([]byte("x"), 1000)
	line := fmt.Appendf(nil, "X-Line: %s\r\n", letters)
	for name, answer := range map[string]func(c net.Conn, id string){
		"trailers": func(c net.Conn, id string) {
			_, _ = c.Write(append(replyHead(200, id, "Transfer-Encoding: chunked\r\nTrailer: X-Line\r\n"), "1\r\nx\r\n0\r\n"...))
			writeEndless(c, bytes.Repeat(line, 16))
		},
		"chunk extensions": func(c net.Conn, id string) {
			_, _ = c.Write(replyHead(200, id, "Transfer-Encoding: chunked\r\n"))
			writeEndless(c, fmt.Appendf(nil, "1;%s\r\nx\r\n", letters))
		},
		"one chunk extension": func(c net.Conn, id string) {
			_, _ = c.Write(append(replyHead(200, id, "Transfer-Encoding: chunked\r\n"), "1;"...))
			writeEndless(c, letters)
		},
		"informational answers": func(c net.Conn, _ string) {
			writeEndless(c, bytes.Repeat([]byte("HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n"), 100))
		},
	} {
		t.Run(name, func(t *testing.T) { runOddServer(t, "/odd/1", answer) })
	}
}
