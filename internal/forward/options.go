package forward

import (
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/retrybudget"
)

// Options are what a Forwarder works with.
type Options struct {
	Placer     *placement.Placer
	Replicas   *replica.Set
	Conns      *replicaconn.Pool
	Codec      Codec
	Budget     *retrybudget.Budget
	CrashGuard *CrashGuard
	RateLimits *ratelimit.Table
	Permits    *ratelimit.Permits
	Log        *eventlog.Log
	Registry   prometheus.Registerer
	// OnRun is told of each request that begins to run, by its workspace; nil: nobody
	// counts.
	OnRun func(workspace string)
}
