package tsdrill

import (
	"context"
	"io"
	"math/rand/v2"
	"net"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	users "turmericshed/platform"
	"turmericshed/standin/tsmetastore"
)

const (
	// copyInterval is the time between copies of the store, of which copyCount are kept.
	copyInterval = 250 * time.Millisecond
	copyCount    = 16
	// maxAwayTime bounds how long the store is away before it is restored.
	maxAwayTime = time.Second
	// maxOutOfStep is the longest time for which entry VMs stand still, or are cut off from the store.
	maxOutOfStep = 3 * time.Second
	// releasesBeside is the number of engines that a release replaces while entry VMs are out of step.
	releasesBeside = 3
)

// copier keeps the latest copies of the store.
type copier struct {
	mu     sync.Mutex
	copies []tsmetastore.Copy
}

// run copies the store until ctx ends.
func (c *copier) run(ctx context.Context, store *tsmetastore.Store) {
	for {
		c.mu.Lock()
		c.copies = append(c.copies, store.Copy())
		if len(c.copies) > copyCount {
			c.copies = c.copies[1:]
		}
		c.mu.Unlock()
		select {
		case <-time.After(copyInterval):
		case <-ctx.Done():
			return
		}
	}
}

// any returns a random copy.
func (c *copier) any(rng *rand.Rand) tsmetastore.Copy {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.copies[rng.IntN(len(c.copies))]
}

// restoreStore restores the store from an older copy after it was away for a moment. What the operator and the
// servers wrote is written again.
func (d *drill) restoreStore(rng *rand.Rand) {
	c := d.copier.any(rng)
	d.servers.store.SetDown(true)
	time.Sleep(time.Duration(rng.Int64N(int64(maxAwayTime))))
	d.servers.store.Restore(c, func(key string) bool {
		return key == users.TableKey || strings.HasPrefix(key, users.ServerPrefix)
	})
	d.servers.store.SetDown(false)
	d.count(&d.report.Restores)
}

// putOutOfStep freezes a few entry VMs, or cuts them off from the store, while a release replaces engines.
func (d *drill) putOutOfStep(ctx context.Context, rng *rand.Rand) {
	vms := slices.Clone(d.vms)
	rng.Shuffle(len(vms), func(i, j int) { vms[i], vms[j] = vms[j], vms[i] })
	vms = vms[:1+rng.IntN(max(len(vms)/2, 1))]
	isFreeze := rng.IntN(2) == 0
	length := time.Duration(rng.Int64N(int64(maxOutOfStep)))
	var tasks sync.WaitGroup
	defer tasks.Wait()
	for _, vm := range vms {
		p := vm.current()
		if p == nil || p.isStopping() {
			continue
		}
		tasks.Go(func() {
			if isFreeze {
				p.freeze(ctx, length)
				d.count(&d.report.Freezes)
				return
			}
			vm.link.cut(ctx, length)
			p.disturbed()
			d.count(&d.report.Cuts)
		})
		p.disturbed()
	}
	for range releasesBeside {
		if err := d.servers.release(); err != nil {
			d.violate("a release failed: %v", err)
		}
		d.count(&d.report.Releases)
	}
}

// freeze stops the process for a time.
func (p *process) freeze(ctx context.Context, length time.Duration) {
	if p.cmd.Process.Signal(syscall.SIGSTOP) != nil {
		return
	}
	select {
	case <-time.After(length):
	case <-p.exited:
	case <-ctx.Done():
	}
	// A process that has exited meanwhile can't be told.
	_ = p.cmd.Process.Signal(syscall.SIGCONT)
	p.disturbed()
}

// disturbed records that the process is out of step, or was until now.
func (p *process) disturbed() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.disturbedAt = append(p.disturbedAt, time.Now())
}

// storeLink is an entry VM's way to the store. While it is cut, connections stay open and nothing passes.
type storeLink struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	isCut bool
	// changed is closed with the next change of isCut.
	changed chan struct{}
}

// newStoreLink listens for connections to the store at target.
func newStoreLink(target string) (*storeLink, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &storeLink{listener: ln, target: target, changed: make(chan struct{})}
	go l.serve()
	return l, nil
}

func (l *storeLink) serve() {
	for {
		conn, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.relay(conn)
	}
}

// relay connects a connection with the store until either side closes it.
func (l *storeLink) relay(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	l.awaitOpen()
	up, err := net.Dial("tcp", l.target)
	if err != nil {
		return
	}
	defer func() { _ = up.Close() }()
	go func() {
		defer func() { _ = conn.Close() }()
		l.copy(conn, up)
	}()
	l.copy(up, conn)
}

// copy copies bytes while the link is not cut.
func (l *storeLink) copy(to io.Writer, from io.Reader) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			l.awaitOpen()
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// awaitOpen waits until the link is not cut.
func (l *storeLink) awaitOpen() {
	for {
		l.mu.Lock()
		isCut, changed := l.isCut, l.changed
		l.mu.Unlock()
		if !isCut {
			return
		}
		<-changed
	}
}

// cut cuts the link for a time.
func (l *storeLink) cut(ctx context.Context, length time.Duration) {
	l.set(true)
	defer l.set(false)
	select {
	case <-time.After(length):
	case <-ctx.Done():
	}
}

func (l *storeLink) set(isCut bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.isCut = isCut
	close(l.changed)
	l.changed = make(chan struct{})
}
