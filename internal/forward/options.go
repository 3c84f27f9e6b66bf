package forward

import (
	"context"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/fairshare"
	"galenatrestle/internal/overload"
	"galenatrestle/internal/pause"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/retrybudget"
)

// Options configures a Forwarder.
type Options struct {
	Placer     *placement.Placer
	Replicas   *replica.Set
	Conns      *replicaconn.Pool
	Codec      Codec
	Budget     *retrybudget.Budget
	CrashGuard *CrashGuard
	RateLimits *ratelimit.Table
	Permits    *ratelimit.Permits
	Pauses     *pause.Table
	// ObjectivePriority decides which calls yield to others of their tier because they will be late.
	ObjectivePriority overload.ObjectivePriority
	Log               *eventlog.Log
	Registry          prometheus.Registerer
	// FairShare divides upstreams that are short of capacity by workspace; nil: it is off.
	FairShare *fairshare.Sharing
	// Returns schedules the returns of refused callers; nil: they are told delays that do not depend on each
	// other.
	Returns *Returns
	// Ask asks the replica for a response to a request that it does not run, and returns an error if none comes.
	Ask func(ctx context.Context, r replica.Replica) error
	// OnStreamBegan is called before a call of a resumable stream forwards its first events, with the
	// software version of the replica that sent them; may be nil.
	OnStreamBegan func(c *Call, version string)
	// OnRun is called with the workspace of each call that a replica begins to run;
	// may be nil.
	OnRun func(workspace string)
}
