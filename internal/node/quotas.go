package node

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/gateway"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/quota"
	"galenatrestle/internal/quotashare"
)

// quotaStream sets the random source of quotas apart from the others.
const quotaStream = 0x71756f74

// quotas bounds the workspaces' use and shares their quotas with the other
// nodes.
type quotas struct {
	limiter  *quota.Limiter
	exchange *quotashare.Exchange
	cancel   context.CancelFunc
	running  sync.WaitGroup
}

// newQuotas creates the part and mounts its handler on the peer listener.
func newQuotas(options Options, members *membership.Runner, link *peers) *quotas {
	limiter := quota.NewLimiter()
	exchange := quotashare.NewExchange(quotashare.Options{
		Node:       options.Name,
		View:       func() quotashare.View { return members.View() },
		Caller:     quotashare.NewCaller(link.clients),
		Limiter:    limiter,
		Rand:       rand.New(rand.NewPCG(options.Seed, quotaStream)),
		Registerer: options.Registry,
	})
	link.server.Mount(exchange.Handler())
	return &quotas{limiter: limiter, exchange: exchange}
}

// offer names the part to the callers' side.
func (q *quotas) offer(options *gateway.Options) { options.Quotas = q.limiter }

// configure puts the quotas of a configuration into force.
func (q *quotas) configure(document *config.Document) {
	bounded := make(map[string]config.Quota)
	for _, w := range document.Workspaces {
		if w.Quota.RequestsPerSecond > 0 || w.Quota.TokensPerSecond > 0 {
			bounded[w.Name] = w.Quota
		}
	}
	q.limiter.SetQuotas(time.Now(), bounded, q.exchange.EvenShare())
}

// start begins to share quotas.
func (q *quotas) start() {
	ctx, cancel := context.WithCancel(context.Background())
	q.cancel = cancel
	q.running.Go(func() { q.exchange.Run(ctx) })
}

func (q *quotas) close() {
	if q.cancel == nil {
		return
	}
	q.cancel()
	q.running.Wait()
}
