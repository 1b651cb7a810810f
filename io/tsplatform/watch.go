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

// maxWatchLine bounds one line: a value in base 64 with its frame.
const maxWatchLine = 2 * turmericshed.MaxValueBytes

// watcher reads the lines of one watch.
type watcher struct {
	idle   time.Duration
	body   io.Closer
	cancel context.CancelFunc
	events chan watchResult
	once   sync.Once
}

type watchResult struct {
	ev       turmericshed.WatchEvent
	hasEvent bool
	err      error
}

// Watch delivers changes under prefix with versions above after. ctx bounds
// only the opening; Close ends the watch.
func (c *Client) Watch(ctx context.Context, prefix string, after turmericshed.Version) (turmericshed.Watcher, error) {
	u := c.base.JoinPath(PathWatch)
	u.RawQuery = url.Values{"prefix": {prefix}, "after": {strconv.FormatUint(uint64(after), 10)}}.Encode()
	life, cancel := context.WithCancel(context.WithoutCancel(ctx))
	stop := context.AfterFunc(ctx, cancel)
	opening := time.AfterFunc(c.opts.CallTimeout, cancel)
	resp, err := c.send(life, http.MethodGet, u, nil, false)
	opened := stop() && opening.Stop()
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
	w := &watcher{idle: c.opts.WatchIdle, body: resp.Body, cancel: cancel, events: make(chan watchResult)}
	go w.read(life, resp.Body)
	return w, nil
}

// read delivers lines until the stream ends or the watcher is closed.
func (w *watcher) read(life context.Context, r io.Reader) {
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
		case <-life.Done():
			return
		}
		if res.err != nil {
			return
		}
	}
}

// Next blocks until a change or an error.
func (w *watcher) Next(ctx context.Context) (turmericshed.WatchEvent, error) {
	idle := time.NewTimer(w.idle)
	defer idle.Stop()
	for {
		select {
		case res := <-w.events:
			if res.err != nil || res.hasEvent {
				return res.ev, res.err
			}
			idle.Reset(w.idle)
		case <-idle.C:
			return turmericshed.WatchEvent{}, turmericshed.NewError(turmericshed.KindStoreUnavailable, "nothing on the watch for %v", w.idle)
		case <-ctx.Done():
			return turmericshed.WatchEvent{}, turmericshed.WrapError(turmericshed.KindStoreUnavailable, ctx.Err(), "watch")
		}
	}
}

// Close ends the watch.
func (w *watcher) Close() error {
	w.once.Do(func() {
		w.cancel()
		_ = w.body.Close()
	})
	return nil
}
