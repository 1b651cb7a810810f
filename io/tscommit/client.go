package tscommit

import (
	"context"
	"log/slog"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"

	"turmericshed"
	"turmericshed/core/tsbudget"
	"turmericshed/core/tspreference"
	"turmericshed/io/tspeer"
	"turmericshed/io/tspeerapi"
)

const (
	// attemptTimeout bounds a call to a peer. The peer's round may have to wait for
	// the round before it and make two transactions. congestedAttemptTimeout replaces
	// it while the local link is congested.
	attemptTimeout          = 1200 * time.Millisecond
	congestedAttemptTimeout = 3500 * time.Millisecond
	// avoidPeerFor is how long a peer is skipped after it failed to answer.
	avoidPeerFor = 1500 * time.Millisecond
	// maxPeers is the number of peers that are tried.
	maxPeers = 2
	// maxLocalWriters is the number of entry VMs of a domain that write by
	// themselves when no peer does. If all of them did, few transactions would
	// succeed because of conflicts.
	maxLocalWriters = 3
	// isolatedAfter is the time without an answer from any peer after which an
	// entry VM beyond the first maxLocalWriters considers itself isolated from its
	// peers only, and writes with isolatedWriteProbability. It is longer than
	// common network partitions, since otherwise all entry VMs would write when one
	// ends.
	isolatedAfter            = 10 * time.Second
	isolatedWriteProbability = 0.2
)

// ClientConfig holds the dependencies of a Client.
type ClientConfig struct {
	Members turmericshed.Members
	Peers   tspeer.Peers
	// LocalWriter commits requests if no peer does.
	LocalWriter tsbudget.LedgerWriter
	// Link reports whether bytes are queued at the local link; a nil Link is never
	// congested.
	Link turmericshed.Link
	Log  *slog.Logger
}

// Client sends a holder's requests to the entry VM that writes the ledgers for its
// failure domain. All clients choose it by the same ranking of name and capacity,
// and the next one while it does not answer.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	picker tspreference.Picker
	// lastWriter is the peer that answered last, at lastAnswer.
	lastWriter string
	lastAnswer time.Time
}

var _ tsbudget.LedgerWriter = (*Client)(nil)

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, picker: tspreference.Picker{SkipDuration: avoidPeerFor}, lastAnswer: time.Now()}
}

// Commit makes the request's changes at the first entry VM that answers, which may
// be this one. Errors: KindStoreUnknown if a peer may have written the changes,
// KindStoreUnavailable if no entry VM writes them, or the error of LocalWriter.
func (c *Client) Commit(ctx context.Context, r tsbudget.Request) (tsbudget.Reply, error) {
	self := c.cfg.Members.Self()
	isUnknown := false
	for _, vm := range c.peerOrder(time.Now()) {
		if vm.Name == self.Name {
			break
		}
		reply, err := c.callPeer(ctx, vm, r)
		if err == nil {
			c.recordPeer(vm, nil)
			return reply, nil
		}
		c.recordPeer(vm, err)
		isUnknown = isUnknown || turmericshed.KindOf(err) == turmericshed.KindStoreUnknown
		if ctx.Err() != nil {
			return reply, err
		}
	}
	if !c.mayWriteLocally(self) {
		kind := turmericshed.KindStoreUnavailable
		if isUnknown {
			kind = turmericshed.KindStoreUnknown
		}
		return tsbudget.Reply{}, turmericshed.NewError(kind, "no entry VM writes the ledgers")
	}
	reply, err := c.cfg.LocalWriter.Commit(ctx, r)
	if err != nil && isUnknown {
		err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "after a peer that did not answer")
	}
	return reply, err
}

// mayWriteLocally reports whether this entry VM may write by itself after no peer
// did.
func (c *Client) mayWriteLocally(self turmericshed.EntryVM) bool {
	ranked := tspreference.Rank(append(c.cfg.Members.Reachable(), self), self.FailureDomain)
	for _, vm := range ranked[:min(maxLocalWriters, len(ranked))] {
		if vm.Name == self.Name {
			return true
		}
	}
	c.mu.Lock()
	isIsolated := time.Since(c.lastAnswer) > isolatedAfter
	c.mu.Unlock()
	return isIsolated && rand.Float64() < isolatedWriteProbability
}

// peerOrder returns the entry VMs to try, in order. A list that contains this entry
// VM ends with it.
func (c *Client) peerOrder(now time.Time) []turmericshed.EntryVM {
	others := c.cfg.Members.Reachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.Order(now, c.cfg.Members.Self(), others, maxPeers)
}

// callPeer sends the request to one peer. Errors: see callError.
func (c *Client) callPeer(ctx context.Context, vm turmericshed.EntryVM, r tsbudget.Request) (tsbudget.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, turmericshed.LinkTimeout(c.cfg.Link, attemptTimeout, congestedAttemptTimeout))
	defer cancel()
	hc, base := c.cfg.Peers.Client(vm.PeerAddr)
	resp, err := tspeerapi.NewLedgerServiceClient(hc, base, tspeer.BoundAnswers()).WriteLedgers(ctx, connect.NewRequest(encodeRequest(r)))
	if err != nil {
		return tsbudget.Reply{}, callError(err)
	}
	return decodeReply(resp.Msg, r.Incarnation), nil
}

// recordPeer records whether a peer answered.
func (c *Client) recordPeer(vm turmericshed.EntryVM, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.picker.Failed(time.Now(), vm)
		c.cfg.Log.Info("entry VM did not write the ledgers, skipping it for a while", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "error", err.Error())
		return
	}
	c.picker.Answered(vm)
	c.lastAnswer = time.Now()
	if c.lastWriter != vm.Name {
		c.lastWriter = vm.Name
		c.cfg.Log.Info("another entry VM writes the ledgers", "entry_vm", vm.Name, "addr", vm.PeerAddr.String())
	}
}
