// Package tsplatform is the client of the platform's services: the key-value
// service and the list of VMs.
//
// A write whose connection could not be made certainly did not take effect
// (KindStoreUnavailable). Once a connection was made, a write without an
// answer may have taken effect, or may yet (KindStoreUnknown). A read without
// an answer is always KindStoreUnavailable. The client never repeats a call.
//
// # Usage
//
//	c, err := tsplatform.NewClient(addr, tsplatform.Options{Caller: "vm-1"})
//	if err != nil { ... }
//	defer c.Close()
//	item, err := c.Get(ctx, "profiles/counter")
package tsplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"net/url"
	"sync/atomic"
	"time"

	"turmericshed"
)

// maxAnswerBytes bounds one answer: a list of whole values is the largest.
const maxAnswerBytes = 64 << 20

// Options sets up a Client.
type Options struct {
	// Caller is told to the platform for its account of calls.
	Caller string
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// CallTimeout bounds each call but a watch; 0 means 5 s.
	CallTimeout time.Duration
	// WatchIdle ends a watch on which nothing arrived for so long; 0 means
	// 15 s. The platform sends a line at least every 5 s.
	WatchIdle time.Duration
}

// Client implements turmericshed.Store and turmericshed.Directory.
type Client struct {
	opts Options
	base url.URL
	http *http.Client
}

var (
	_ turmericshed.Store     = (*Client)(nil)
	_ turmericshed.Directory = (*Client)(nil)
)

// NewClient returns a client of the platform at addr. It makes no connection
// yet. KindBadRequest when addr is not set.
func NewClient(addr netip.AddrPort, o Options) (*Client, error) {
	if !addr.IsValid() {
		return nil, turmericshed.NewError(turmericshed.KindBadRequest, "the platform's address is not set")
	}
	if o.Dial == nil {
		o.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if o.CallTimeout <= 0 {
		o.CallTimeout = defaultCallTimeout
	}
	if o.WatchIdle <= 0 {
		o.WatchIdle = defaultWatchIdle
	}
	transport := &http.Transport{DialContext: o.Dial, MaxIdleConnsPerHost: maxIdleConns, DisableCompression: true}
	return &Client{
		opts: o,
		base: url.URL{Scheme: "http", Host: addr.String()},
		http: &http.Client{Transport: transport, CheckRedirect: noRedirect},
	}, nil
}

// noRedirect keeps the client from sending a call twice.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close drops the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the item; an absent key has Version 0.
func (c *Client) Get(ctx context.Context, key string) (turmericshed.Item, error) {
	var a Item
	if err := c.call(ctx, http.MethodPost, PathGet, GetRequest{Key: key}, &a, false); err != nil {
		return turmericshed.Item{}, err
	}
	return turmericshed.Item{Key: key, Value: a.Value, Version: a.Version}, nil
}

// List returns up to limit items with the prefix after the given key.
func (c *Client) List(ctx context.Context, prefix, after string, limit int) ([]turmericshed.Item, error) {
	var a ListAnswer
	if err := c.call(ctx, http.MethodPost, PathList, ListRequest{Prefix: prefix, After: after, Limit: limit}, &a, false); err != nil {
		return nil, err
	}
	items := make([]turmericshed.Item, 0, len(a.Items))
	for _, it := range a.Items {
		items = append(items, ToItem(it))
	}
	return items, nil
}

// CompareAndSwap applies w and returns the new version.
func (c *Client) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	if len(w.Value) > turmericshed.MaxValueBytes {
		return 0, turmericshed.NewError(turmericshed.KindTooLarge, "value of %d bytes: at most %d", len(w.Value), turmericshed.MaxValueBytes)
	}
	var a SwapAnswer
	err := c.call(ctx, http.MethodPost, PathSwap, SwapRequest(w), &a, true)
	return a.Version, err
}

// Grant makes a lease.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (turmericshed.LeaseID, error) {
	var a LeaseAnswer
	err := c.call(ctx, http.MethodPost, PathGrant, LeaseRequest{TTL: turmericshed.Duration(ttl)}, &a, true)
	return a.Lease, err
}

// KeepAlive renews a lease; KindNotFound once it lapsed.
func (c *Client) KeepAlive(ctx context.Context, id turmericshed.LeaseID) error {
	return c.call(ctx, http.MethodPost, PathKeepAlive, LeaseRequest{Lease: id}, &struct{}{}, true)
}

// Snapshot returns the platform's list of VMs.
func (c *Client) Snapshot(ctx context.Context) (turmericshed.DirectorySnapshot, error) {
	var a turmericshed.DirectorySnapshot
	err := c.call(ctx, http.MethodGet, PathDirectory, nil, &a, false)
	return a, err
}

// call sends one request and reads its answer whole.
func (c *Client) call(ctx context.Context, method, path string, in, out any, write bool) error {
	ctx, cancel := context.WithTimeout(ctx, c.opts.CallTimeout)
	defer cancel()
	var body []byte
	if in != nil {
		b, err := json.Marshal(in)
		if err != nil {
			return turmericshed.WrapError(turmericshed.KindBadRequest, err, "encode %s", path)
		}
		body = b
	}
	resp, err := c.send(ctx, method, c.base.JoinPath(path), body, write)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return turmericshed.WrapError(unansweredKind(write), err, "read the answer to %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		return decodeError(resp.StatusCode, b, write)
	}
	if err := json.Unmarshal(b, out); err != nil {
		return turmericshed.WrapError(unansweredKind(write), err, "decode the answer to %s", path)
	}
	return nil
}

// send makes the request; its error tells whether it may have arrived.
func (c *Client) send(ctx context.Context, method string, u *url.URL, body []byte, write bool) (*http.Response, error) {
	var connected atomic.Bool
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})
	req, err := http.NewRequestWithContext(ctx, method, u.String(), bytes.NewReader(body))
	if err != nil {
		return nil, turmericshed.WrapError(turmericshed.KindBadRequest, err, "make the request")
	}
	req.Header.Set(CallerHeader, c.opts.Caller)
	req.Header.Set("Content-Type", "application/json")
	resp, err := c.http.Do(req)
	if err == nil {
		return resp, nil
	}
	if !connected.Load() {
		return nil, turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "no connection")
	}
	return nil, turmericshed.WrapError(unansweredKind(write), err, "no answer")
}
