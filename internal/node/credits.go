package node

import (
	"context"
	"math/rand/v2"
	"sync"

	"galenatrestle/internal/credit"
	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/router"
)

// creditStream sets the random source of credits apart from the others.
const creditStream = 0x63726564

// credits shares the replicas' slots with the other nodes.
type credits struct {
	exchange *credit.Exchange
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newCredits creates the part and mounts its handler on the peer listener; it
// is idle without one, and where Options.OwnSlots is set.
func newCredits(options Options, members *membership.Runner, link *peers, dispatcher *dispatch.Dispatcher) *credits {
	if options.OwnSlots || options.Peer == nil {
		return &credits{}
	}
	exchange := credit.NewExchange(credit.Options{
		Node:       options.Name,
		Members:    members,
		Clients:    link.clients,
		Needs:      func() []credit.Need { return needsOf(dispatcher.Stats()) },
		Allow:      dispatcher.SetAllowance,
		Rand:       rand.New(rand.NewPCG(options.Seed, creditStream)),
		Registerer: options.Registry,
	})
	link.server.Mount(exchange.Handler())
	return &credits{exchange: exchange}
}

func (c *credits) start() {
	if c.exchange == nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	c.running.Go(func() { c.exchange.Run(ctx) })
}

func (c *credits) close() {
	if c.cancel == nil {
		return
	}
	c.cancel()
	c.running.Wait()
}

// needsOf turns the dispatcher's state into what the node needs.
func needsOf(stats map[string]router.Stats) []credit.Need {
	needs := make([]credit.Need, 0, len(stats))
	for upstream, s := range stats {
		needs = append(needs, needOf(upstream, s))
	}
	return needs
}

func needOf(upstream string, s router.Stats) credit.Need {
	need := credit.Need{Upstream: upstream}
	for _, class := range s.Classes {
		switch {
		case class.Waiting == 0:
		case need.Waiting == 0:
			need.Tier = class.Tier
			need.Slack = class.Slack
			need.Waiting = class.Waiting
		case class.Tier == need.Tier:
			need.Slack = min(need.Slack, class.Slack)
			need.Waiting += class.Waiting
		default:
			need.Rest += class.Waiting
		}
	}
	for _, r := range s.Replicas {
		if r.Leaving {
			continue
		}
		need.Replicas = append(need.Replicas, credit.ReplicaNeed{Name: r.Name, Limit: r.Slots, Running: r.Running})
	}
	return need
}
