package node

import (
	"strings"
	"time"

	"galenatrestle/internal/explain"
	inspectv1 "galenatrestle/internal/gen/trestle/inspect/v1"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/inspect"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/router"
)

// mountInspector creates what tells operators of this node's requests and of
// itself, and mounts its handler on the peer listener.
func (n *Node) mountInspector() {
	n.timelines = explain.NewRecorder(time.Now(), explain.DefaultMaxBytes, n.options.Registry)
	sources := inspect.Sources{Node: n.options.Name, Explain: n.timelines, Report: n.report}
	locate := func(node string) (string, bool) { return locatePeer(n.members.runner, node) }
	n.inspector = inspect.NewAsker(sources, locate, n.peers.clients)
	n.peers.server.Mount(inspect.NewHandler(sources))
}

// report is what the node tells of itself; it calls nobody.
func (n *Node) report() *inspectv1.ReportResponse {
	report := &inspectv1.ReportResponse{
		Platform: n.duties.Reach().Tell(time.Now()), Leaving: n.leaving.Load(), Load: usedPart(n.dispatch.Stats()),
	}
	if index := n.config.Load(); index != nil {
		report.ConfigRevision = index.Revision()
	}
	for _, lease := range append(n.claims.leases(), n.moves.leases()...) {
		report.Leases = append(report.Leases, &operatorv1.Lease{
			Name: lease.Name, Holder: holderNode(lease), Epoch: lease.Epoch,
		})
	}
	return report
}

// holderNode is the VM of a lease's holder, which names one run of its process.
func holderNode(lease platform.Lease) string {
	node, _, _ := strings.Cut(lease.Holder, "/")
	return node
}

// usedPart is the part of the slots that this node may use which its requests
// use or wait for.
func usedPart(stats map[string]router.Stats) float64 {
	requests, slots := slotsInUse(stats)
	return float64(requests) / float64(max(slots, 1))
}
