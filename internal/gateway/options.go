package gateway

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/answer/answerrpc"
	"galenatrestle/internal/claim"
	"galenatrestle/internal/config"
	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/dispatch"
	"galenatrestle/internal/explain"
	"galenatrestle/internal/httplimits"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/quota"
	"galenatrestle/internal/retry"
	"galenatrestle/internal/upstream"
)

// Options are what a Server works with.
type Options struct {
	// Node is the VM's name.
	Node string
	// Config returns the configuration in force, nil before the first.
	Config func() *config.Index
	// Members is the picture of the nodes.
	Members membership.View
	// Dispatch binds requests to replicas.
	Dispatch *dispatch.Dispatcher
	// Engines and Services call the upstreams.
	Engines  *upstream.Engine
	Services *upstream.Service
	// Ledger makes unrepeatable calls run at most once. Default: one that
	// refuses them all.
	Ledger claim.Ledger
	// Retries decides on further attempts. Default: the default limits.
	Retries *retry.Policy
	// Quarantine knows the requests that crash replicas. Default: one of this
	// node alone.
	Quarantine *quarantine.Tracker
	// SpreadQuarantine tells the peers of its changes. Default: nobody.
	SpreadQuarantine func(...quarantine.Record)
	// CrashCauses knows what such requests have in common. Default: one of this node alone.
	CrashCauses *crashcause.Tracker
	// SpreadCrashCauses tells the peers of its changes. Default: nobody.
	SpreadCrashCauses func()
	// Answers keeps the answers of this node's requests. Default: an empty one.
	Answers *answer.Store
	// Resolver finds answers, also those of other nodes. Default: this node's.
	Resolver *answerrpc.Resolver
	// Explain keeps the requests' timelines. Default: an empty one.
	Explain *explain.Recorder
	// Quotas bounds the workspaces' use. Default: no bounds.
	Quotas *quota.Limiter
	// Gate says whether work may start in this data centre. Default: always.
	Gate Gate
	// Relay carries requests to the data centre that serves them.
	Relay *http.Client
	// Registry takes the metrics.
	Registry prometheus.Registerer
	// Log takes one line a refusal and a failed attempt.
	Log logrus.FieldLogger
}

// maxIdleRelays bounds the idle connections to the other data centre.
const maxIdleRelays = 16

func (o Options) withDefaults() Options {
	if o.Retries == nil {
		o.Retries = retry.NewPolicy(config.Limits{})
	}
	if o.Quarantine == nil {
		o.Quarantine = quarantine.NewTracker("", 0)
	}
	if o.SpreadQuarantine == nil {
		o.SpreadQuarantine = func(...quarantine.Record) {}
	}
	if o.CrashCauses == nil {
		o.CrashCauses = crashcause.NewTracker(0, nil, nil)
	}
	if o.SpreadCrashCauses == nil {
		o.SpreadCrashCauses = func() {}
	}
	if o.Quotas == nil {
		o.Quotas = quota.NewLimiter()
	}
	if o.Gate == nil {
		o.Gate = openGate{}
	}
	if o.Relay == nil {
		o.Relay = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost: maxIdleRelays, MaxResponseHeaderBytes: httplimits.HeadBytes,
		}}
	}
	if o.Answers == nil {
		o.Answers = answer.NewStore(answer.Options{})
	}
	if o.Explain == nil {
		o.Explain = explain.NewRecorder(time.Now(), explain.DefaultMaxBytes, o.Registry)
	}
	if o.Resolver == nil {
		nowhere := func(string) (string, bool) { return "", false }
		o.Resolver = answerrpc.NewResolver(o.Node, o.Answers, nowhere, nil)
	}
	return o
}
