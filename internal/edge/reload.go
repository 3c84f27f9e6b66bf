package edge

import (
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/passthrough"
	"galenatrestle/internal/retrybudget"
	"galenatrestle/internal/settings"
)

// Reload applies changed settings without interrupting requests: the bounds, the retry
// budget and the seeds. Changed listener addresses need a restart, which is logged.
func (n *Node) Reload(s *settings.Settings) {
	if s.PassThrough == nil {
		n.log.Write(&lifecycle{name: "reload_refused", fields: eventlog.Fields{
			"field": "pass_through", "reason": "missing; keeping the current settings",
		}})
		return
	}
	old := n.settings.Load()
	n.settings.Store(s)
	n.nodes.SetSeeds(s.Peers.Seeds)
	n.budget.SetLimits(n.retryLimits())
	n.log.Write(&lifecycle{name: "reload", fields: eventlog.Fields{
		"seeds": s.Peers.Seeds, "needs_restart": listenersChanged(old, s),
	}})
}

// ReloadFailed logs that changed settings are invalid and ignored.
func (n *Node) ReloadFailed(err error) {
	n.log.Write(&lifecycle{name: "reload_refused", fields: eventlog.Fields{"error": err.Error()}})
}

// listenersChanged reports whether the address of any listener differs.
func listenersChanged(a, b *settings.Settings) bool {
	return a.Listen != b.Listen || a.PeerListen != b.PeerListen || a.OpsListen != b.OpsListen ||
		a.PassThrough.ReadyListen != b.PassThrough.ReadyListen || a.PassThrough.ResolveListen != b.PassThrough.ResolveListen
}

// bounds returns the time limits for applying a configuration.
func (n *Node) bounds() passthrough.Bounds {
	p := n.settings.Load().PassThrough
	return passthrough.Bounds{RevokeAfter: p.RevokeAfter.Std(), ApplyWithin: p.ApplyWithin.Std()}
}

// retryLimits returns the limits on retries, which all nodes share.
func (n *Node) retryLimits() retrybudget.Limits {
	r := n.settings.Load().PassThrough.Retries
	return retrybudget.Limits{Ratio: r.Ratio, Window: r.Window.Std(), Allowance: r.Allowance, Nodes: n.sharing.nodeCount()}
}
