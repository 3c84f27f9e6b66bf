package edge

import (
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/passthrough"
	"galenatrestle/internal/retrybudget"
	"galenatrestle/internal/settings"
)

// Reload puts changed settings in force without touching a request: the bounds,
// the retry budget and the seeds. What needs other listeners waits for the next
// start, and is logged.
func (n *Node) Reload(s *settings.Settings) {
	if s.PassThrough == nil {
		n.log.Write(&lifecycle{name: "reload_refused", fields: eventlog.Fields{
			"field": "pass_through", "reason": "missing: the settings in force stay",
		}})
		return
	}
	old := n.settings.Load()
	n.settings.Store(s)
	n.nodes.SetSeeds(s.Peers.Seeds)
	n.budget.SetLimits(n.retryLimits())
	n.log.Write(&lifecycle{name: "reload", fields: eventlog.Fields{
		"seeds": s.Peers.Seeds, "needs_restart": listensElsewhere(old, s),
	}})
}

// ReloadFailed tells that changed settings cannot be used and are ignored.
func (n *Node) ReloadFailed(err error) {
	n.log.Write(&lifecycle{name: "reload_refused", fields: eventlog.Fields{"error": err.Error()}})
}

// listensElsewhere says whether a listener's address differs.
func listensElsewhere(a, b *settings.Settings) bool {
	return a.Listen != b.Listen || a.PeerListen != b.PeerListen || a.OpsListen != b.OpsListen ||
		a.PassThrough.ReadyListen != b.PassThrough.ReadyListen || a.PassThrough.ResolveListen != b.PassThrough.ResolveListen
}

// bounds are the times within which a configuration takes effect.
func (n *Node) bounds() passthrough.Bounds {
	p := n.settings.Load().PassThrough
	return passthrough.Bounds{RevokeAfter: p.RevokeAfter.Std(), ApplyWithin: p.ApplyWithin.Std()}
}

// retryLimits is the bound on added attempts that all nodes share.
func (n *Node) retryLimits() retrybudget.Limits {
	r := n.settings.Load().PassThrough.Retries
	return retrybudget.Limits{Ratio: r.Ratio, Window: r.Window.Std(), Allowance: r.Allowance, Nodes: n.shareOf()}
}
