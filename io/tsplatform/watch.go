package tsplatform

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"turmericshed"
)

// maxWatchLine bounds one line, which holds a base64-encoded value in a JSON object.
const maxWatchLine = 2 * turmericshed.MaxValueBytes

// watcher reads the lines of one watch stream.
type watcher struct {
	idleTimeout time.Duration
	body        io.Closer
	cancel      context.CancelFunc
	events      chan watchResult
	once        sync.Once
}

// watchResult is a decoded line or the error that terminated the stream. hasEvent is
// false for a line that only keeps the stream alive.
type watchResult struct {
	ev       turmericshed.WatchEvent
	hasEvent bool
	err      error
}

// Watch delivers the changes under prefix with versions above after. ctx bounds only the
// opening of the stream; Close terminates the watch.
func (c *Client) Watch(ctx context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	u := c.base.JoinPath(PathWatch)
	u.RawQuery = url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}.Encode()
	streamCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stopCancel := context.AfterFunc(ctx, cancel)
	openTimer := time.AfterFunc(c.opts.CallTimeout, cancel)
	resp, err := c.send(streamCtx, http.MethodGet, u, nil, false)
	opened := stopCancel() && openTimer.Stop()
	if err != nil {
		cancel()
		return nil, err
	}
	if resp.StatusCode != http.StatusOK || !opened {
		b, _ := io.ReadAll(io.LimitReader(resp.Body, maxWatchLine))
		_ = resp.Body.Close()
		cancel()
		return nil, decodeError(resp.StatusCode, b, false)
	}
	w := &watcher{idleTimeout: c.opts.WatchIdle, body: resp.Body, cancel: cancel, events: make(chan watchResult)}
	go w.read(streamCtx, resp.Body)
	return w, nil
}

// read delivers decoded lines until the stream ends or the watcher is closed.
func (w *watcher) read(ctx context.Context, r io.Reader) {
	sc := bufio.NewScanner(r)
	sc.Buffer(nil, maxWatchLine)
	for {
		res := watchResult{}
		if sc.Scan() {
			res.ev, res.hasEvent, res.err = DecodeWatchLine(sc.Bytes())
		} else {
			err := sc.Err()
			if err == nil {
				err = io.ErrUnexpectedEOF
			}
			res.err = turmericshed.WrapError(turmericshed.KindStoreUnavailable, err, "watch ended")
		}
		select {
		case w.events <- res:
		case <-ctx.Done():
			return
		}
		if res.err != nil {
			return
		}
	}
}

// Next blocks until there is a change or an error. Its errors are of
// KindStoreUnavailable.
func (w *watcher) Next(ctx context.Context) (turmericshed.WatchEvent, error) {
	idle := time.NewTimer(w.idleTimeout)
	defer idle.Stop()
	for {
		select {
		case res := <-w.events:
			if res.err != nil || res.hasEvent {
				return res.ev, res.err
			}
			idle.Reset(w.idleTimeout)
		case <-idle.C:
			return turmericshed.WatchEvent{}, turmericshed.NewError(turmericshed.KindStoreUnavailable, "nothing on the watch for %v", w.idleTimeout)
		case <-ctx.Done():
			return turmericshed.WatchEvent{}, turmericshed.WrapError(turmericshed.KindStoreUnavailable, ctx.Err(), "watch")
		}
	}
}

// Close terminates the watch.
func (w *watcher) Close() error {
	w.once.Do(func() {
		w.cancel()
		_ = w.body.Close()
	})
	return nil
}
