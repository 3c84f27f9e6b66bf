package node

import (
	"context"
	"time"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/answer/answerrpc"
	"galenatrestle/internal/config"
	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/gateway"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/quarantine/quarantinerpc"
	"galenatrestle/internal/retry"
)

// evictInterval is how often an idle node looks for answers whose retention is
// over.
const evictInterval = 10 * time.Second

// answers is what a node knows of attempts and their answers: the retry
// budgets, the requests that crash replicas and the kept answers.
type answers struct {
	retries  *retry.Policy
	tracker  *quarantine.Tracker
	causes   *crashcause.Tracker
	spreader *quarantinerpc.Spreader
	store    *answer.Store
	resolver *answerrpc.Resolver
	stop     context.CancelFunc
}

// newAnswers creates the part and mounts its handlers on the peer listener.
func newAnswers(options Options, members membership.View, link *peers) *answers {
	a := &answers{
		retries: retry.NewPolicy(config.Limits{}),
		tracker: quarantine.NewTracker(options.Name, 0),
		store:   answer.NewStore(answer.Options{}),
	}
	a.causes = crashcause.NewTracker(0, nil, nil)
	locate := func(node string) (string, bool) { return locatePeer(members, node) }
	others := func() []string { return otherPeers(members) }
	a.resolver = answerrpc.NewResolver(options.Name, a.store, locate, link.clients)
	a.spreader = quarantinerpc.NewSpreader(a.tracker, a.causes, others, link.clients, options.Registry)
	link.server.Mount(answerrpc.NewHandler(a.store))
	link.server.Mount(quarantinerpc.NewHandler(a.tracker, a.causes))
	return a
}

// offer names the part to the callers' side.
func (a *answers) offer(options *gateway.Options) {
	options.Retries = a.retries
	options.Quarantine = a.tracker
	options.SpreadQuarantine = a.spreader.Offer
	options.CrashCauses, options.SpreadCrashCauses = a.causes, a.spreader.OfferCauses
	options.Answers = a.store
	options.Resolver = a.resolver
}

// configure puts the limits of a configuration into force.
func (a *answers) configure(document *config.Document) { a.retries.SetLimits(document.Limits) }

// start begins to spread records and to evict answers.
func (a *answers) start() {
	ctx, cancel := context.WithCancel(context.Background())
	a.stop = cancel
	go a.spreader.Run(ctx)
	go a.evict(ctx)
}

func (a *answers) evict(ctx context.Context) {
	ticker := time.NewTicker(evictInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-ticker.C:
			a.store.Evict(now)
		}
	}
}

func (a *answers) close() {
	if a.stop != nil {
		a.stop()
	}
}

// locatePeer returns the address at which peers reach a node, or false where
// it is not among the members.
func locatePeer(members membership.View, name string) (string, bool) {
	address := membership.PeerAddress(members, name)
	return address, address != ""
}

// otherPeers returns the peer addresses of the other members.
func otherPeers(members membership.View) []string {
	self := members.Self().Name
	var addresses []string
	for _, m := range members.Members() {
		if m.Name != self && m.PeerAddress != "" {
			addresses = append(addresses, m.PeerAddress)
		}
	}
	return addresses
}
