package tshostile_test

import (
	"bytes"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	// entryBodyBytes is the size of the largest legal body of the program entry.
	entryBodyBytes = 1 << 20
	// entryCallers times that size is well over the memory of the machine.
	entryCallers = 200
	// entryChatBytes is the size of an ordinary prompt.
	entryChatBytes = 20_000
	// unknownKey has the form of a key, and no client account has it.
	unknownKey = "ts.nobody.0123456789abcdef0123456789abcdef"

	entryProfile = `{"name":"counter","prepaid":1000000000000,"accounts":[{"account":"corner_1"},{"account":"corner_2"}],"work":"assistant","model":"umbrella-8b"}`
)

// entryRig is a stand-in platform and a stand-in engine, beside which entry processes run.
type entryRig struct {
	t        *testing.T
	platform string
	// keys are the keys of two client accounts.
	keys   [2]string
	starts int
}

// entry is one entry process.
type entry struct {
	*process
	*entryRig
}

// listensAddr returns the address in a line that a process prints at its start, else "".
func listensAddr(line []byte) string {
	_, addr, _ := strings.Cut(string(line), " listens at ")
	return addr
}

func newEntryRig(t *testing.T) *entryRig {
	t.Helper()
	r := &entryRig{t: t}
	r.platform = mustStart(t, exec.Command(command, "standin", "platform", "-addr", "127.0.0.1:0", "-list-lag", "100ms"), listensAddr).callerAddr
	mustStart(t, exec.Command(command, "standin", "engine", "-addr", "127.0.0.1:0", "-platform-addr", r.platform, "-failure-domain", "a",
		"-id", "engine-1", "-models", "umbrella-8b", "-slots", "64", "-step-interval", "2ms", "-prefill-tokens-per-second", "100000000"), listensAddr)
	r.run(entryProfile, "profile", "put", "-file", "-")
	for i := range r.keys {
		fields := strings.Fields(r.run("", "account", "add", "-account", "corner_"+strconv.Itoa(i+1)))
		r.keys[i] = fields[len(fields)-1]
	}
	return r
}

// run runs a command of an operator and returns its output.
func (r *entryRig) run(input string, args ...string) string {
	r.t.Helper()
	cmd := exec.Command(command, append(args, "-platform-addr", r.platform)...)
	cmd.Stdin = strings.NewReader(input)
	out, err := cmd.CombinedOutput()
	assert.NilError(r.t, err, string(out))
	return string(out)
}

// start starts an entry process whose limits are in its environment.
func (r *entryRig) start() *entry {
	r.starts++
	cmd := exec.Command(command, "entry", "-name", fmt.Sprint("entry-", r.starts), "-failure-domain", "a", "-caller-addr", "127.0.0.1:0", "-peer-addr", "127.0.0.1:0",
		"-platform-addr", r.platform, "-drain-limit", "10s")
	cmd.Env = append(os.Environ(), fmt.Sprint("TURMERICSHED_MEMORY_MB=", memoryMB), fmt.Sprint("TURMERICSHED_FILE_DESCRIPTORS=", fileDescriptors))
	e := &entry{mustStart(r.t, cmd, listensAddr), r}
	e.descriptors = fileDescriptors
	return e
}

// startEntry starts an entry process and waits until it answers.
func startEntry(t *testing.T) *entry {
	t.Helper()
	e := newEntryRig(t).start()
	e.assertAnswered("at the start", func() error { return e.ordinary(0) })
	return e
}

// chat returns the body of a chat request of the given size.
func chat(size int) []byte {
	const start, end = `{"messages":[{"role":"user","content":"`, `"}],"max_tokens":1}`
	return append(append([]byte(start), bytes.Repeat([]byte("x"), size-len(start)-len(end))...), end...)
}

// head returns the head of a chat request with the given framing header.
func (e *entry) head(key, framing string) []byte {
	return fmt.Appendf(nil, "POST /v1/chat/completions HTTP/1.1\r\nHost: corner.example\r\nAuthorization: Bearer %s\r\nTurmericshed-Profile: counter\r\n%s\r\n\r\n", key, framing)
}

func (e *entry) lengthHead(key string, n int) []byte {
	return e.head(key, "Content-Length: "+strconv.Itoa(n))
}

// ordinary sends one ordinary chat request of a client account. Error: it was not answered.
func (e *entry) ordinary(account int) error {
	return e.chat(account, chat(entryChatBytes))
}

func (e *entry) chat(account int, body []byte) error {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.callerAddr+"/v1/chat/completions", bytes.NewReader(body)) //nolint:noctx // loopback, in a test.
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+e.keys[account])
	req.Header.Set("Turmericshed-Profile", "counter")
	status, text, err := roundTrip(req)
	if err == nil && (status != http.StatusOK || !strings.Contains(text, `"finish_reason"`)) {
		err = fmt.Errorf("status %d, %q", status, text)
	}
	return err
}

// runCrowd lets a crowd send to the entry process, and checks its limits and that ordinary callers
// are answered.
func (e *entry) runCrowd(n int, pieces func(i int) [][]byte) {
	e.process.t.Helper()
	s := startSampler(e.cmd.Process.Pid, e.callerPort)
	var c crowd
	c.sendFrom(n, e.callerAddr, pieces)
	for account := range e.keys {
		e.assertAnswered("while the crowd is connected", func() error { return e.ordinary(account) })
	}
	c.close()
	e.assertAnswered("after the crowd has left", func() error { return e.ordinary(0) })
	e.assertLimits(s)
}

// Guards against holding the bodies of callers of the program entry that send piece by piece and
// stop just short of the end.
func TestEntryBodiesThatStopShort(t *testing.T) {
	e := startEntry(t)
	body := chat(entryBodyBytes)[:entryBodyBytes-missingBytes]
	e.runCrowd(entryCallers, func(int) [][]byte {
		return append([][]byte{e.lengthHead(e.keys[0], entryBodyBytes)}, inPieces(body, 64)...)
	})
}

// Guards against holding what came of bodies whose key no client account has.
func TestEntryBodiesWithAnUnknownKey(t *testing.T) {
	e := startEntry(t)
	body := chat(entryBodyBytes)[:entryBodyBytes-missingBytes]
	e.runCrowd(entryCallers, func(int) [][]byte {
		return append([][]byte{e.lengthHead(unknownKey, entryBodyBytes)}, inPieces(body, 64)...)
	})
}

// Guards against holding many whole bodies of the largest legal size, and what is made of them.
func TestEntryWholeLargeBodies(t *testing.T) {
	e := startEntry(t)
	body := chat(entryBodyBytes)
	e.runCrowd(entryCallers, func(int) [][]byte { return [][]byte{e.lengthHead(e.keys[0], entryBodyBytes), body} })
}

// Guards against holding bodies without a length that come in chunks.
func TestEntryChunks(t *testing.T) {
	for name, size := range map[string]int{"large": 64 << 10, "tiny": 4} {
		t.Run(name, func(t *testing.T) {
			e := startEntry(t)
			body := chunked(entryBodyBytes-size, size)
			e.runCrowd(entryCallers, func(i int) [][]byte {
				pieces := append([][]byte{e.head(e.keys[0], "Transfer-Encoding: chunked")}, inPieces(body, 64)...)
				if i%finishing == 0 {
					pieces = append(pieces, []byte("0\r\n\r\n"))
				}
				return pieces
			})
		})
	}
}

// Guards against reading bodies that are far over the limit of the program entry.
func TestEntryBodiesOverTheLimit(t *testing.T) {
	t.Run("announced", func(t *testing.T) {
		e := startEntry(t)
		body := bytes.Repeat([]byte("x"), overLimitBytes)
		e.runCrowd(entryCallers, func(int) [][]byte {
			return append([][]byte{e.lengthHead(e.keys[0], overLimitBytes)}, inPieces(body, 64)...)
		})
	})
	t.Run("just sent", func(t *testing.T) {
		e := startEntry(t)
		body := chunked(overLimitBytes, 64<<10)
		e.runCrowd(entryCallers, func(int) [][]byte {
			return append([][]byte{e.head(e.keys[0], "Transfer-Encoding: chunked")}, inPieces(body, 64)...)
		})
	})
}

// Guards against connections to the program entry that use up its descriptors.
func TestEntryConnectionsWithoutARequest(t *testing.T) {
	e := startEntry(t)
	for name, sent := range map[string][]byte{
		"part of a head": []byte("POST /v1/chat/completions HTTP/1.1\r\nHost: corner.example\r\n"),
		"part of a body": append(e.lengthHead(e.keys[0], 1000), "first bytes"...),
	} {
		t.Run(name, func(t *testing.T) {
			e.runCrowd(idleConnections, func(int) [][]byte { return [][]byte{sent} })
		})
	}
}

// A single request inside the limits is served in a calm period.
func TestEntryLargestBodyInACalmPeriod(t *testing.T) {
	e := startEntry(t)
	time.Sleep(settlePeriod)
	assert.NilError(t, e.chat(0, chat(entryBodyBytes)))
}
