// Package tsplatform is the client of the platform's services: the key-value
// service and the list of VMs.
//
// A write whose connection could not be opened certainly did not take effect
// (KindStoreUnavailable). Once a connection is open, a write without an answer may have
// taken effect or may still do so (KindStoreUnknown). A read without an answer is always
// KindStoreUnavailable. The client never retries a call.
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

// maxAnswerBytes bounds one answer. The largest answers are lists, which include the
// complete values.
const maxAnswerBytes = 64 << 20

// Options configures a Client.
type Options struct {
	// Caller is the name sent to the platform, which counts calls by caller.
	Caller string
	// Dial opens connections; nil means a net.Dialer.
	Dial func(ctx context.Context, network, addr string) (net.Conn, error)
	// CallTimeout bounds each call, and the opening of a watch; 0 means 5 s.
	CallTimeout time.Duration
	// WatchIdle is the time without any line after which a watch fails; 0 means
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

// NewClient returns a client of the platform at addr. It does not connect yet. It
// returns KindBadRequest if addr is not set.
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

// noRedirect prevents the client from sending a call twice by following a redirect.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get returns the item under key; an absent key has Version 0.
func (c *Client) Get(ctx context.Context, key string) (turmericshed.Item, error) {
	var a Item
	if err := c.call(ctx, http.MethodPost, PathGet, GetRequest{Key: key}, &a, false); err != nil {
		return turmericshed.Item{}, err
	}
	return turmericshed.Item{Key: key, Value: a.Value, Version: a.Version}, nil
}

// List returns up to limit items whose keys have the prefix and follow the key after.
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

// CompareAndSwap applies w and returns the new version. It returns KindTooLarge if the
// value exceeds turmericshed.MaxValueBytes.
func (c *Client) CompareAndSwap(ctx context.Context, w turmericshed.Write) (turmericshed.Version, error) {
	if len(w.Value) > turmericshed.MaxValueBytes {
		return 0, turmericshed.NewError(turmericshed.KindTooLarge, "value of %d bytes: at most %d", len(w.Value), turmericshed.MaxValueBytes)
	}
	var a SwapAnswer
	err := c.call(ctx, http.MethodPost, PathSwap, SwapRequest(w), &a, true)
	return a.Version, err
}

// Grant creates a lease with the given time to live.
func (c *Client) Grant(ctx context.Context, ttl time.Duration) (turmericshed.LeaseID, error) {
	var a LeaseAnswer
	err := c.call(ctx, http.MethodPost, PathGrant, LeaseRequest{TTL: turmericshed.Duration(ttl)}, &a, true)
	return a.Lease, err
}

// KeepAlive renews a lease. It returns KindNotFound once the lease has expired.
func (c *Client) KeepAlive(ctx context.Context, id turmericshed.LeaseID) error {
	return c.call(ctx, http.MethodPost, PathKeepAlive, LeaseRequest{Lease: id}, &struct{}{}, true)
}

// Snapshot returns the platform's list of VMs.
func (c *Client) Snapshot(ctx context.Context) (turmericshed.DirectorySnapshot, error) {
	var a turmericshed.DirectorySnapshot
	err := c.call(ctx, http.MethodGet, PathDirectory, nil, &a, false)
	return a, err
}

// call sends one request and decodes its complete answer into out.
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

// send sends one request. The kind of its error states whether the request may have
// arrived.
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
