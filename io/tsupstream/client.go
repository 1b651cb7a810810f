// Package tsupstream sends requests to backend servers and validates their answers: an
// answer that does not belong to the request on its connection is an error, and the
// connection is closed.
//
// It reuses connections between requests and never retries a request. The user of the
// package decides by the kind of the error whether a request may be sent again.
//
// # Usage
//
//	c := tsupstream.New(tsupstream.Config{Codec: codec})
//	reply, err := c.Send(ctx, call) // KindNoBackend, KindOverloaded: not sent
//	body, isWhole, err := reply.ReadBody(memory, limit) // or reply.Read, then reply.Close
package tsupstream

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"syscall"
	"time"

	"turmericshed"
	"turmericshed/io/tsintake"
)

const (
	// defaultIdleTimeout is how long an idle connection is kept when its server sends no
	// keep-alive time. It is shorter than the usual idle timeout of a server.
	defaultIdleTimeout = 4 * time.Second
	// keepAliveFraction is the part of a server's keep-alive time for which an idle
	// connection is kept, so that no request is sent while the server closes it.
	keepAliveFraction = 0.7
	// onceMaxIdle is how long a connection may have been idle to carry a request that
	// must not run twice. If the server dropped the connection unnoticed, the outcome
	// of the request would be unknown.
	onceMaxIdle = 1500 * time.Millisecond
	// maxInlineBodyBytes is the largest body that is written before the answer is
	// read. A larger one is written concurrently, since a server may answer early.
	maxInlineBodyBytes = 4 << 10
	// MaxBodyBytes bounds the body of an answer that is not a stream of events.
	MaxBodyBytes = 16 << 20
	// maxDiscardBytes and discardTimeout bound the reading of an unneeded body, which
	// allows its connection to be reused.
	maxDiscardBytes = 4 << 10
	discardTimeout  = 50 * time.Millisecond
	// writeResultTimeout bounds the wait for the result of a write after the answer has ended.
	// A server that has read the whole request has left nothing to write.
	writeResultTimeout = 200 * time.Millisecond
	// sweepInterval is the time between checks for expired connections.
	sweepInterval = time.Second
)

// Config holds what a Client needs.
type Config struct {
	Codec turmericshed.Codec
	// Dial opens connections; nil means the package's Dial.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
}

// Client sends requests to backend servers.
type Client struct {
	codec turmericshed.Codec
	conns connPool
}

// New returns a client without open connections.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = Dial
	}
	return &Client{codec: cfg.Codec, conns: connPool{dial: cfg.Dial, servers: make(map[serverKey]*serverConns)}}
}

// Serve closes expired idle connections until ctx ends, and returns its error.
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
	// Body holds the parts of the body.
	Body [][]byte
	// AtMostOnce marks a request that must not run twice. It is not sent on a connection
	// that the server may have dropped.
	AtMostOnce bool
	// BeforeSend is called right before the first byte is sent. It returns the deadline
	// for the last byte, zero for none, and may change Header. When the deadline
	// passes, it is called again for a new one. Its error ends the call; if the first
	// call of BeforeSend fails, nothing was sent. A nil BeforeSend sets no deadline.
	BeforeSend func() (until time.Time, err error)
	// MaxConnections is the maximum number of connections to the server; 0 means no limit.
	MaxConnections int
}

// Reply is an answer to a call, whose headers were read and validated.
type Reply struct {
	Status int
	Header http.Header
	Info   turmericshed.BackendReply

	client *Client
	key    serverKey
	conn   *conn
	resp   *http.Response
	// writeDone receives the result of writing the request. Once it was received, isWritten is
	// true and writeErr the result.
	writeDone     chan error
	isWritten     bool
	writeErr      error
	stopAfterFunc func() bool
	isClosed      bool
}

// Send sends the request and reads the headers of the answer. When ctx ends, the
// connection is closed, also while the body is read. Errors: KindNoBackend,
// KindOverloaded, KindCanceled and those of call.BeforeSend when nothing was sent,
// KindCallUnknown when the request may have run.
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
		return nil, turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: writing the request failed", call.Server.ID)
	}
	if err := r.readHead(call); err != nil {
		r.Close()
		return nil, err
	}
	return r, nil
}

// sendableUntil returns the deadline for the last byte, zero for none. It also checks ctx:
// the connection is closed concurrently when ctx ends, which may be too late to prevent
// the first bytes from being sent.
func (c Call) sendableUntil(ctx context.Context) (until time.Time, err error) {
	if c.BeforeSend != nil {
		if until, err = c.BeforeSend(); err != nil {
			return until, err
		}
	}
	return until, turmericshed.WrapError(turmericshed.KindCanceled, ctx.Err(), "canceled before the request was sent")
}

// connect returns an idle connection for the call or opens one. Errors: KindOverloaded
// when all allowed connections are busy, KindNoBackend when none opens.
func (c *Client) connect(ctx context.Context, k serverKey, call Call) (*conn, error) {
	maxIdle := time.Hour
	if call.AtMostOnce {
		maxIdle = onceMaxIdle
	}
	cn, mayOpen := c.conns.acquire(time.Now(), k, maxIdle, call.MaxConnections)
	if cn != nil {
		return cn, nil
	}
	if !mayOpen {
		return nil, turmericshed.NewError(turmericshed.KindOverloaded, "server %s: %d connections are busy", k.id, call.MaxConnections)
	}
	cn, err := c.conns.openConn(ctx, k)
	return cn, turmericshed.WrapError(turmericshed.KindNoBackend, err, "server %s: opening a connection failed", k.id)
}

// write sends the request. A request with a large body is written concurrently with the
// reading of the answer.
func (r *Reply) write(call Call, until time.Time) error {
	var head bytes.Buffer
	head.WriteString(call.Method + " " + call.Target + " HTTP/1.1\r\nHost: " + call.Host + "\r\n")
	if err := call.Header.Write(&head); err != nil {
		return err
	}
	size := 0
	for _, part := range call.Body {
		size += len(part)
	}
	if size > 0 || (call.Method != http.MethodGet && call.Method != http.MethodHead) {
		head.WriteString("Content-Length: " + strconv.Itoa(size) + "\r\n")
	}
	head.WriteString("\r\n")
	if size <= maxInlineBodyBytes {
		for _, part := range call.Body {
			head.Write(part)
		}
		err := r.writeUntil(call, until, net.Buffers{head.Bytes()})
		r.writeDone <- nil
		return err
	}
	go func() { r.writeDone <- r.writeUntil(call, until, append(net.Buffers{head.Bytes()}, call.Body...)) }()
	return nil
}

// writeUntil writes bufs until the deadline, which call.BeforeSend may extend. If it does not,
// the connection is closed.
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
		extended, readyErr := call.BeforeSend()
		if readyErr != nil || !extended.After(time.Now()) {
			// Buffered bytes must not reach the server after the deadline.
			return errors.Join(err, readyErr, r.conn.Close())
		}
		until = extended
	}
}

// readHead reads the headers of the answer and checks that it belongs to the call.
func (r *Reply) readHead(call Call) error {
	var resp *http.Response
	err := r.conn.withHeadLimit(func() (err error) {
		resp, err = readResponse(r.conn.br, call.Method)
		return err
	})
	if err != nil {
		return turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: reading the headers failed", call.Server.ID)
	}
	r.resp, r.Status, r.Header = resp, resp.StatusCode, resp.Header
	r.Info = r.client.codec.DecodeReply(resp.StatusCode, resp.Header)
	if !r.belongsTo(call) {
		return turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: the answer belongs to request %q", call.Server.ID, r.Info.ID)
	}
	return nil
}

// belongsTo reports whether the answer belongs to the call. A refusal need not carry a
// request id, but without one it is accepted only as the first answer on a connection:
// later it may be the answer to an earlier request.
func (r *Reply) belongsTo(call Call) bool {
	if r.Info.ID == "" {
		return r.Info.NotRun && r.conn.requestCount == 1
	}
	return r.Info.ID == call.ID
}

// readResponse returns the first answer that is not informational (1xx). net/http accepts every
// number of three digits as a status; those that HTTP does not define are errors, and so is 101,
// after which another protocol would follow that no request asks for.
func readResponse(br *bufio.Reader, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		switch s := resp.StatusCode; {
		case s < http.StatusContinue, s == http.StatusSwitchingProtocols, s > maxStatus:
			return nil, fmt.Errorf("%w %03d", errBadStatus, s)
		case s >= http.StatusOK:
			return resp, nil
		}
	}
}

// maxStatus is the largest status that HTTP defines a class for.
const maxStatus = 599

var errBadStatus = errors.New("the answer has the invalid status")

// Read reads the body. It returns io.EOF only after a complete body.
func (r *Reply) Read(p []byte) (int, error) { return r.resp.Body.Read(p) }

// ReadBody reads the body into memory. If it is complete, the call has ended. It is not if limit
// or the memory is used up; the rest can then be read with Read. Errors: KindCallUnknown.
func (r *Reply) ReadBody(memory *tsintake.Body, limit int64) (parts [][]byte, isWhole bool, err error) {
	parts, isWhole, err = memory.ReadPart(r.resp.Body, limit)
	if err != nil {
		r.Close()
		return nil, false, turmericshed.WrapError(turmericshed.KindCallUnknown, err, "server %s: reading the body failed", r.key.id)
	}
	if isWhole {
		if !r.IsFramed() {
			// Finish closes the connection, and a write that has not returned would fail.
			r.wroteRequest(writeResultTimeout)
		}
		r.Finish()
	}
	return parts, isWhole, nil
}

// ContentLength returns the announced length of the body; -1 if there is none.
func (r *Reply) ContentLength() int64 { return r.resp.ContentLength }

// ReadAll reads the complete body of up to MaxBodyBytes and ends the call, without a bound by the
// memory of the machine. Errors: KindCallUnknown.
func (r *Reply) ReadAll() ([]byte, error) {
	parts, isWhole, err := r.ReadBody(nil, MaxBodyBytes+1)
	if err == nil && !isWhole {
		r.Close()
		err = turmericshed.NewError(turmericshed.KindCallUnknown, "server %s: the body exceeds %d bytes", r.key.id, MaxBodyBytes)
	}
	if err != nil {
		return nil, err
	}
	return bytes.Join(parts, nil), nil
}

// EndedEarly reports whether the body of a read answer ended with its connection, and may not be
// complete, which the framing can't show: the request was not written to its end, or the server
// refuses connections since and may have terminated. When the server resets the connection
// while the request is being written, the failed write takes up the socket's error, and the
// reader sees an orderly end.
func (r *Reply) EndedEarly(ctx context.Context) bool {
	if r.IsFramed() {
		return false
	}
	if !r.wroteRequest(writeResultTimeout) {
		return true
	}
	c, err := r.client.conns.dial(ctx, "tcp", r.key.addr)
	if err == nil {
		_ = c.Close()
	}
	return errors.Is(err, syscall.ECONNREFUSED)
}

// Discard ends a call whose body is not needed. The connection is reused if the remainder
// of the body is short and arrives promptly, else closed.
func (r *Reply) Discard() {
	if !r.IsFramed() || r.resp.ContentLength > maxDiscardBytes || r.conn.SetReadDeadline(time.Now().Add(discardTimeout)) != nil {
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

// Finish ends a call whose body was read to its end. The connection is reused where the
// server allows it, else closed.
func (r *Reply) Finish() {
	if r.isClosed {
		return
	}
	r.isClosed = true
	canReuse := r.stopAfterFunc() && r.isReusable()
	if !canReuse {
		r.client.conns.discard(r.key, r.conn)
		return
	}
	idleTimeout := defaultIdleTimeout
	if r.Info.KeepAlive > 0 {
		idleTimeout = time.Duration(float64(r.Info.KeepAlive) * keepAliveFraction)
	}
	r.client.conns.release(time.Now(), r.key, r.conn, idleTimeout)
}

// isReusable reports whether the connection can carry another request: the request was
// written completely, the answer's end is known from its framing, the server does not
// close the connection, and no bytes follow.
func (r *Reply) isReusable() bool {
	return r.wroteRequest(0) && r.IsFramed() && !r.resp.Close && r.conn.br.Buffered() == 0
}

// wroteRequest reports whether the request was written completely. It waits for the result for
// the given time.
func (r *Reply) wroteRequest(wait time.Duration) bool {
	if !r.isWritten {
		select {
		case r.writeErr = <-r.writeDone:
			r.isWritten = true
		default:
		}
	}
	if !r.isWritten && wait > 0 {
		t := time.NewTimer(wait)
		defer t.Stop()
		select {
		case r.writeErr = <-r.writeDone:
			r.isWritten = true
		case <-t.C:
		}
	}
	return r.isWritten && r.writeErr == nil
}

// IsFramed reports whether the body has a length or is chunked, rather than ending with
// the connection.
func (r *Reply) IsFramed() bool { return r.resp.ContentLength >= 0 || len(r.resp.TransferEncoding) > 0 }

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
