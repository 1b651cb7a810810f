// Package tsupstream sends requests to backend servers, each once, and reads
// their answers with doubt: bytes that do not answer the request on their
// connection are nobody's.
//
// It keeps connections open between requests and never sends a request a
// second time by itself. Whether one may be sent again is for the caller to
// decide, by the kind of the error.
//
// # Usage
//
//	c := tsupstream.New(tsupstream.Config{Codec: codec})
//	reply, err := c.Send(ctx, call) // KindNoBackend, KindOverloaded: not sent
//	body, err := reply.ReadAll()    // or reply.Read, then reply.Close
package tsupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"time"

	"turmericshed"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept when its server does
	// not tell; shorter than the usual server's time.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveFraction of the time that a server told is used, so that a request does
	// not cross the server's close.
	keepAliveFraction = 0.7
	// onceMaxIdle is how long a connection may have been idle to carry a
	// request that must not run twice: one that the server dropped unnoticed
	// would leave the outcome unknown.
	onceMaxIdle = 1500 * time.Millisecond
	// maxInlineBodyBytes is the largest body that is written before the answer is
	// read; larger ones are written beside, since a server may answer early.
	maxInlineBodyBytes = 4 << 10
	// maxBodyBytes bounds a whole answer in memory.
	maxBodyBytes = 16 << 20
	// maxDiscardBytes and discardTimeout bound what is read of a body that does not
	// matter, to keep its connection.
	maxDiscardBytes   = 4 << 10
	discardTimeout = 50 * time.Millisecond
	// sweepInterval is the time between searches for expired connections.
	sweepInterval = time.Second
)

// Config holds what a Client needs.
type Config struct {
	Codec turmericshed.Codec
	// Dial opens connections; nil takes Dial of this package.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client sends requests to backend servers.
type Client struct {
	codec turmericshed.Codec
	conns connPool
}

// New returns a client without connections.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	return &Client{codec: cfg.Codec, conns: connPool{dial: cfg.Dial, servers: make(map[serverKey]*serverConns)}}
}

// Serve closes idle connections until ctx ends.
func (c *Client) Serve(ctx context.Context) error {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case now := <-t.C:
			c.conns.closeExpired(now)
		}
	}
}

// Call is one request to one server.
type Call struct {
	Server turmericshed.BackendServer
	ID     turmericshed.RequestID
	Method string
	// Target is the path and query as the caller sent them.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Once requests must not run twice; they avoid connections that the
	// server may have dropped.
	Once bool
	// Ready is asked right before the first byte is sent, and returns until
	// when the last one may be; zero for any time. It is asked again then. Its
	// error ends the call, which was not sent if that was the first time. It
	// may change Header. nil sends always.
	Ready func() (until time.Time, err error)
	// Connections bounds the connections to the server; 0 means no bound.
	Connections int
}

// Reply is an answer whose headers were read and belong to the call.
type Reply struct {
	Status int
	Header http.Header
	Info   turmericshed.BackendReply

	client  *Client
	key     serverKey
	conn    *conn
	resp    *http.Response
	writeDone chan error
	stopAfterFunc    func() bool
	isClosed  bool
}

// Send makes the call. The end of ctx closes its connection, also while the
// answer is read. Errors: KindNoBackend, KindOverloaded, KindCanceled and those
// of call.Ready when nothing was sent, KindCallUnknown when the call may run.
func (c *Client) Send(ctx context.Context, call Call) (*Reply, error) {
	k := keyOf(call.Server)
	cn, err := c.connect(ctx, k, call)
	if err != nil {
		return nil, err
	}
	until, err := call.sendableUntil(ctx)
	if err != nil {
		c.conns.releaseUnused(time.Now(), k, cn)
		return nil, err
	}
	stop := context.AfterFunc(ctx, func() { _ = cn.Close() })
	r := &Reply{client: c, key: k, conn: cn, stopAfterFunc: stop, writeDone: make(chan error, 1)}
	cn.requestCount++
	if err := r.write(call, until); err != nil {
		r.Close()
		return nil, turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: write", call.Server.ID)
	}
	if err := r.readHead(call); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// sendableUntil returns until when the last byte may be sent. The closing of the
// connection at the end of ctx comes beside the write, and too late to keep the
// first bytes back.
func (c Call) sendableUntil(ctx context.Context) (until time.Time, err error) {
	if c.Ready != nil {
		if until, err = c.Ready(); err != nil {
			return until, err
		}
	}
	return until, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "before it was sent")
}

// connect returns a connection for the call.
func (c *Client) connect(ctx context.Context, k serverKey, call Call) (*conn, error) {
	maxIdle := time.Hour
	if call.Once {
		maxIdle = onceMaxIdle
	}
	cn, mayOpen := c.conns.acquire(time.Now(), k, maxIdle, call.Connections)
	if cn != nil {
		return cn, nil
	}
	if !mayOpen {
		return nil, turmericshed.NewError(turmericshed.KindOverloaded, "server %s: %d connections are busy", k.id, call.Connections)
	}
	cn, err := c.conns.openConn(ctx, k)
	return cn, turmericshed.WrapError(turmericshed.KindNoBackend, err, "server %s", k.id)
}

// write sends the request, a large body beside the reading of the answer.
func (r *Reply) write(call Call, until time.Time) error {
	var head bytes.Buffer
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := call.Header.Write(&head); err != nil {
		return err
	}
	if len(call.Body) > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(len(call.Body)) + "\r\n")
	}
	head.WriteString("\r\n")
	if len(call.Body) <= maxInlineBodyBytes {
		head.Write(call.Body)
		err := r.writeUntil(call, until, net.Buffers{head.Bytes()})
		r.writeDone <- nil
		return err
	}
	go func() { r.writeDone <- r.writeUntil(call, until, net.Buffers{head.Bytes(), call.Body}) }()
	return nil
}

// writeUntil writes while the call may be sent.
func (r *Reply) writeUntil(call Call, until time.Time, bufs net.Buffers) error {
	for {
		if err := r.conn.SetWriteDeadline(until); err != nil {
			return err
		}
		_, err := bufs.WriteTo(r.conn.Conn)
		if err == nil {
			return r.conn.SetWriteDeadline(time.Time{})
		}
		if !errors.Is(err, os.ErrDeadlineExceeded) {
			return err
		}
		again, readyErr := call.Ready()
		if readyErr != nil || !again.After(time.Now()) {
			// What was not sent must not reach the server later.
			return errors.Join(err, readyErr, r.conn.Close())
		}
		until = again
	}
}

// readHead reads the headers and checks whom they answer.
func (r *Reply) readHead(call Call) error {
	var resp *http.Response
	err := r.conn.withHeadLimit(func() (err error) {
		resp, err = readResponse(r.conn.br, call.Method)
		return err
	})
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: no answer", call.Server.ID)
	}
	r.resp, r.Status, r.Header = resp, resp.StatusCode, resp.Header
	r.Info = r.client.codec.DecodeReply(resp.StatusCode, resp.Header)
	if !r.belongsTo(call) {
		return turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: the answer belongs to request %q", call.Server.ID, r.Info.ID)
	}
	return nil
}

// belongsTo reports whether the answer belongs to the call. A refusal need not name
// the request; on a connection that carried others before it may be one of theirs.
func (r *Reply) belongsTo(call Call) bool {
	if r.Info.ID == "" {
		return r.Info.NotRun && r.conn.requestCount == 1
	}
	return r.Info.ID == call.ID
}

// readResponse skips informational answers.
func readResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil || resp.StatusCode >= http.StatusOK {
			return resp, err
		}
	}
}

// Read reads the body. io.EOF comes only after a whole body.
func (r *Reply) Read(p []byte) (int, error) { return r.resp.Body.Read(p) }

// ReadAll reads the body whole and ends the call.
func (r *Reply) ReadAll() ([]byte, error) {
	data, err := io.ReadAll(io.LimitReader(r.resp.Body, maxBodyBytes+1))
	if err == nil && len(data) > maxBodyBytes {
		err = errors.New("the body is too large")
	}
	if err != nil {
		r.Close()
		return nil, turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: body", r.key.id)
	}
	r.Finish()
	return data, nil
}

// Discard ends a call whose body does not matter. The connection is kept where
// the body ends at once.
func (r *Reply) Discard() {
	if !r.isFramed() || r.resp.ContentLength > maxDiscardBytes || r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
		r.Close()
		return
	}
	n, err := io.Copy(io.Discard, io.LimitReader(r.resp.Body, maxDiscardBytes+1))
	if err != nil || n > maxDiscardBytes || r.conn.SetReadDeadline(time.Time{}) != nil {
		r.Close()
		return
	}
	r.Finish()
}

// Finish ends a call whose body was read to its end; the connection is kept
// where the server allows it.
func (r *Reply) Finish() {
	if r.isClosed {
		return
	}
	r.isClosed = true
	kept := r.stopAfterFunc() && r.isReusable()
	if !kept {
		r.client.conns.discard(r.key, r.conn)
		return
	}
	keep := defaultIdleTimeout
	if r.Info.KeepAlive > 0 {
		keep = time.Duration(float64(r.Info.KeepAlive) * keepAliveFraction)
	}
	r.client.conns.release(time.Now(), r.key, r.conn, keep)
}

// isReusable reports whether the answer's framing left the connection clean.
func (r *Reply) isReusable() bool {
	select {
	case err := <-r.writeDone:
		if err != nil {
			return false
		}
	default:
		return false
	}
	return r.isFramed() && !r.resp.Close && r.conn.br.Buffered() == 0
}

// isFramed reports whether the body's end does not need the connection's.
func (r *Reply) isFramed() bool { return r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0 }

// Close ends a call early and closes its connection, which cancels the
// request at the server.
func (r *Reply) Close() {
	if r.isClosed {
		return
	}
	r.isClosed = true
	r.stopAfterFunc()
	r.client.conns.discard(r.key, r.conn)
}
