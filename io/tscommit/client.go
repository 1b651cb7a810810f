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
	// attemptTimeout bounds a call to a peer: a round that waits for the one
	// before it and makes two transactions. crowdedAttemptTimeout bounds it
	// while the answer has to pass a crowded link.
	attemptTimeout        = 1200 * time.Millisecond
	crowdedAttemptTimeout = 3500 * time.Millisecond
	// avoidPeerFor is how long a peer that did not answer is passed over.
	avoidPeerFor = 1500 * time.Millisecond
	// maxPeers is how many peers are asked.
	maxPeers = 2
	// maxLocalWriters is how many entry VMs of a domain write for themselves when no
	// peer does: of all of them, few would get through.
	maxLocalWriters = 3
	// isolatedAfter is how long no peer must have answered before one of the
	// others takes itself for cut off from its peers only, and writes with
	// aloneChance. It is longer than the usual cuts, at whose end all would.
	isolatedAfter            = 10 * time.Second
	isolatedWriteProbability = 0.2
)

// ClientConfig holds what a Client needs.
type ClientConfig struct {
	Members turmericshed.Members
	Peers   tspeer.Peers
	// Local writes where no peer does.
	Local tsbudget.LedgerWriter
	// Link tells whether bytes wait at the own link; nil never does.
	Link turmericshed.Link
	Log  *slog.Logger
}

// Client sends a holder's requests to the entry VM of its failure domain that
// writes for all. All choose it alike by name and capacity, and the next one
// while it does not answer.
type Client struct {
	cfg ClientConfig

	mu     sync.Mutex
	picker tspreference.Picker
	// lastWriter is the peer that answered last, at answered.
	lastWriter string
	lastAnswer time.Time
}

var _ tsbudget.LedgerWriter = (*Client)(nil)

// NewClient returns a client.
func NewClient(cfg ClientConfig) *Client {
	return &Client{cfg: cfg, picker: tspreference.Picker{Avoid: avoidPeerFor}, lastAnswer: time.Now()}
}

// Commit makes the request's changes, at the first entry VM that answers.
func (c *Client) Commit(ctx context.Context, r tsbudget.Request) (tsbudget.Reply, error) {
	self := c.cfg.Members.Self()
	unknown := false
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
		unknown = unknown || turmericshed.KindOf(err) == turmericshed.KindStoreUnknown
		if ctx.Err() != nil {
			return reply, err
		}
	}
	if !c.mayWriteLocally(self) {
		kind := turmericshed.KindStoreUnavailable
		if unknown {
			kind = turmericshed.KindStoreUnknown
		}
		return tsbudget.Reply{}, turmericshed.NewError(kind, "no entry VM writes the ledgers")
	}
	reply, err := c.cfg.Local.Commit(ctx, r)
	if err != nil && unknown {
		err = turmericshed.WrapError(turmericshed.KindStoreUnknown, err, "after a peer that did not answer")
	}
	return reply, err
}

// mayWriteLocally reports whether this entry VM writes, where no peer did.
func (c *Client) mayWriteLocally(self turmericshed.EntryVM) bool {
	ranked := tspreference.Rank(append(c.cfg.Members.Reachable(), self), self.FailureDomain)
	for _, vm := range ranked[:min(maxLocalWriters, len(ranked))] {
		if vm.Name == self.Name {
			return true
		}
	}
	c.mu.Lock()
	alone := time.Since(c.lastAnswer) > isolatedAfter
	c.mu.Unlock()
	return alone && rand.Float64() < isolatedWriteProbability
}

// peerOrder returns the entry VMs to ask.
func (c *Client) peerOrder(now time.Time) []turmericshed.EntryVM {
	others := c.cfg.Members.Reachable()
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.picker.Order(now, c.cfg.Members.Self(), others, maxPeers)
}

// callPeer calls one peer.
func (c *Client) callPeer(ctx context.Context, vm turmericshed.EntryVM, r tsbudget.Request) (tsbudget.Reply, error) {
	ctx, cancel := context.WithTimeout(ctx, turmericshed.Patience(c.cfg.Link, attemptTimeout, crowdedAttemptTimeout))
	defer cancel()
	hc, base := c.cfg.Peers.Client(vm.PeerAddr)
	resp, err := tspeerapi.NewLedgerServiceClient(hc, base).WriteLedgers(ctx, connect.NewRequest(encodeRequest(r)))
	if err != nil {
		return tsbudget.Reply{}, callError(err)
	}
	return decodeReply(resp.Msg, r.Incarnation), nil
}

// recordPeer remembers whether a peer answered.
func (c *Client) recordPeer(vm turmericshed.EntryVM, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if err != nil {
		c.picker.Failed(time.Now(), vm)
		c.cfg.Log.Info("entry VM does not write the ledgers", "entry_vm", vm.Name, "addr", vm.PeerAddr.String(), "error", err.Error())
		return
	}
	c.picker.Answered(vm)
	c.lastAnswer = time.Now()
	if c.lastWriter != vm.Name {
		c.lastWriter = vm.Name
		c.cfg.Log.Info("entry VM writes the ledgers", "entry_vm", vm.Name, "addr", vm.PeerAddr.String())
	}
}
