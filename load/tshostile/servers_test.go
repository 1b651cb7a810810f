package tshostile_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericshed"
)

const (
	// endlessBytes is how much a server sends of an answer without an end, unless its connection
	// is closed before.
	endlessBytes = 32 << 20
	// largeAnswerBytes is the size of an answer within the limit of 16 MiB.
	largeAnswerBytes = 8 << 20
)

// oddServer is a backend server that answers in its own way.
type oddServer struct {
	ln net.Listener
	// answer writes the answer to the request with the id. The connection is closed after it.
	answer func(c net.Conn, id string)
}

func startOddServer(t *testing.T, answer func(c net.Conn, id string)) *oddServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	s := &oddServer{ln: ln, answer: answer}
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(c)
		}
	}()
	return s
}

func (s *oddServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	s.answer(c, r.Header.Get("Attempt-Id"))
}

func (s *oddServer) port() int { return s.ln.Addr().(*net.TCPAddr).Port }

// entry returns the server's entry in the store.
func (s *oddServer) entry() []byte {
	return fmt.Appendf(nil, `{"service":"odd","address":%q,"zone":"a","version":"v1","slots":500,"state":"ready","coldRemainingMs":0,"sequence":1,"born":1,"models":[{"name":"m","version":1}]}`, s.ln.Addr())
}

// replyHead returns the head of a signed answer.
func replyHead(status int, id, extra string) []byte {
	return fmt.Appendf(nil, "HTTP/1.1 %d Status\r\nAttempt-Id: %s\r\nResponse-Stamp: odd\r\n%s\r\n", status, id, extra)
}

// writeEndless writes piece until endlessBytes are written or the connection is closed.
func writeEndless(c net.Conn, piece []byte) {
	for sent := 0; sent < endlessBytes; sent += len(piece) {
		if _, err := c.Write(piece); err != nil {
			return
		}
	}
	// The answer stays incomplete.
	_, _ = c.Read(make([]byte, 1))
}

// runOddServer lets a crowd of callers ask the server at once and checks the bounds. The callers
// read only the first bytes of their answers.
func runOddServer(t *testing.T, path string, answer func(c net.Conn, id string)) {
	s := startOddServer(t, answer)
	g := startWithDeskAnd(t, fileDescriptors, map[string][]byte{"odd-0": s.entry()})
	sampler := startSamplerWith(g.cmd.Process.Pid, g.callerPort, s.port())
	var c crowd
	c.send(g.callerAddr, func(int) [][]byte {
		return [][]byte{fmt.Appendf(nil, "GET %s HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: %s\r\nCredential: k1\r\nDeadline-Remaining: 8000\r\nModel: m\r\n\r\n", path, turmericshed.NewID("a-"))}
	})
	g.assertBounds(sampler, c.close)
}

// endlessChunks answers with chunks without an end.
func endlessChunks(status int) func(c net.Conn, id string) {
	piece := chunked(64<<10, 64<<10)
	return func(c net.Conn, id string) {
		_, _ = c.Write(replyHead(status, id, "Transfer-Encoding: chunked\r\n"))
		writeEndless(c, piece)
	}
}

// Guards against holding the bodies of errors that never end.
func TestEndlessErrorBodiesOfServers(t *testing.T) { runOddServer(t, "/odd/1", endlessChunks(500)) }

// Guards against holding the bodies of plain answers that never end.
func TestEndlessBodiesOfServers(t *testing.T) { runOddServer(t, "/odd/1", endlessChunks(200)) }

// Guards against holding events that never end.
func TestEndlessEventsOfServers(t *testing.T) { runOddServer(t, "/oddstream/1", endlessChunks(200)) }

// Guards against holding many large answers for callers that don't read them.
func TestLargeAnswersToCallersThatDoNotRead(t *testing.T) {
	body := bytes.Repeat([]byte("x"), largeAnswerBytes)
	runOddServer(t, "/odd/1", func(c net.Conn, id string) {
		_, _ = c.Write(replyHead(200, id, fmt.Sprintf("Content-Length: %d\r\n", len(body))))
		_, _ = c.Write(body)
		time.Sleep(stallPeriod)
	})
}

// manyCallers is the number of callers in a large crowd, usualAnswerBytes the size of an answer that
// the kernel could hold for each.
const (
	manyCallers      = 1000
	usualAnswerBytes = 200 << 10
)

// Guards against answers that wait in the kernel for many callers that don't read them.
func TestAnswersToManyCallersThatDoNotRead(t *testing.T) {
	body := bytes.Repeat([]byte("x"), usualAnswerBytes)
	server := startOddServer(t, func(c net.Conn, id string) {
		_, _ = c.Write(append(replyHead(200, id, fmt.Sprintf("Content-Length: %d\r\n", len(body))), body...))
	})
	g := startWithDeskAnd(t, deploymentDescriptors, map[string][]byte{"odd-0": server.entry()})
	s := startSamplerWith(g.cmd.Process.Pid, g.callerPort, server.port())
	c := crowd{receiveBuffer: 4 << 10}
	c.sendFrom(manyCallers, g.callerAddr, func(int) [][]byte {
		return [][]byte{fmt.Appendf(nil, "GET /odd/1 HTTP/1.1\r\nHost: corner.example\r\nAttempt-Id: %s\r\nCredential: k1\r\nDeadline-Remaining: 8000\r\n\r\n", turmericshed.NewID("a-"))}
	})
	g.assertBounds(s, c.close)
}

// Guards against holding heads that never end.
func TestEndlessHeadsOfServers(t *testing.T) {
	line := append(append([]byte("X-Line: "), bytes.Repeat([]byte("x"), 1000)...), "\r\n"...)
	runOddServer(t, "/odd/1", func(c net.Conn, id string) {
		head := replyHead(200, id, "")
		_, _ = c.Write(head[:len(head)-2])
		writeEndless(c, bytes.Repeat(line, 16))
	})
}
