package node

import (
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/claim/claimrpc"
	"galenatrestle/internal/gateway"
	"galenatrestle/internal/lease"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/peer"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/settings"
)

const (
	// claimLeaseTTL is how long a shard stands still at most when its holder
	// dies.
	claimLeaseTTL = 10 * time.Second
	// claimStream sets the random source of claims apart from the others.
	claimStream = 0x636c6169
)

// claims is the node's part of the ledger of unrepeatable calls. It is nil on a
// node without a platform.
type claims struct {
	ledger *claim.Node
	source *lease.Source
	stop   context.CancelFunc
	done   chan struct{}
}

// leases returns those that this process holds.
func (c *claims) leases() []platform.Lease {
	if c == nil {
		return nil
	}
	return c.source.Held()
}

// newClaims creates the part and mounts its handler on the peer listener.
func newClaims(options Options, members membership.View, link *peers) *claims {
	if options.Store == nil {
		return nil
	}
	ledger, source, err := newLedger(options, members, link)
	if err != nil {
		options.Log.WithError(err).WithField("step", "create ledger").Error("unrepeatable calls will be refused")
		return nil
	}
	link.server.Mount(claimrpc.NewHandler(ledger))
	return &claims{ledger: ledger, source: source}
}

func newLedger(options Options, members membership.View, link *peers) (*claim.Node, *lease.Source, error) {
	metrics, err := lease.NewMetrics(options.Registry)
	if err != nil {
		return nil, nil, err
	}
	// A lease's holder names one run of one process.
	holder := claim.HolderName(options.Name, uuid.NewString(), options.PeerAddress)
	source, err := lease.NewSource(options.Store, holder, lease.DefaultSettings(claimLeaseTTL), metrics, time.Now)
	if err != nil {
		return nil, nil, err
	}
	ledger, err := claim.NewNode(claim.Options{
		Policy:     claimPolicy(options.Claims),
		Store:      options.Store,
		Leases:     claimLeases{source: source},
		View:       members,
		Peers:      claimrpc.NewClient(scheme(link.clients), peerDoer{clients: link.clients}),
		Registerer: options.Registry,
		Log:        options.Log,
		Random:     rand.New(rand.NewPCG(options.Seed, claimStream)),
	})
	return ledger, source, err
}

// claimPolicy sizes the ledger by the settings, or by its defaults where there
// are none.
func claimPolicy(sizes settings.Claims) claim.Policy {
	policy := claim.DefaultPolicy()
	if sizes == (settings.Claims{}) {
		return policy
	}
	policy.KeyRetention = sizes.KeyRetention.Std()
	policy.AnswerRetention = sizes.AnswerRetention.Std()
	policy.Shards = sizes.Shards
	policy.SegmentBytes = sizes.SegmentBytes
	policy.Segments = sizes.Segments()
	return policy
}

// scheme is "https" between nodes with keys, else "http".
func scheme(clients *peer.Clients) string {
	scheme, _, _ := strings.Cut(clients.URL(""), "://")
	return scheme
}

// claimLeases gives the ledger the terms of a lease.Source.
type claimLeases struct {
	source *lease.Source
}

// Acquire implements claim.Leases.
func (l claimLeases) Acquire(ctx context.Context, name string) (claim.Term, error) {
	term, err := l.source.Acquire(ctx, name)
	if err != nil {
		return nil, err
	}
	return term, nil
}

// peerDoer sends a request through the client of its peer.
type peerDoer struct {
	clients *peer.Clients
}

// Do implements connect.HTTPClient.
func (d peerDoer) Do(request *http.Request) (*http.Response, error) {
	return d.clients.HTTPClient(request.URL.Host).Do(request)
}

// offer names the part to the callers' side.
func (c *claims) offer(options *gateway.Options) {
	if c != nil {
		options.Ledger = c.ledger
	}
}

// held counts the shards that this node holds.
func (c *claims) held() int {
	if c == nil {
		return 0
	}
	return c.ledger.HeldShards()
}

// start begins to hold shards.
func (c *claims) start() {
	if c == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.stop = cancel
	c.done = make(chan struct{})
	go func() {
		defer close(c.done)
		_ = c.ledger.Run(ctx)
	}()
}

// close records what waits, hands the shards on and returns when that is done.
func (c *claims) close() {
	if c == nil || c.stop == nil {
		return
	}
	c.stop()
	<-c.done
	c.stop = nil
}
