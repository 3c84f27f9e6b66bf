package soak

import (
	"net/http"
	"time"

	"galenatrestle/platform/platformtest"
)

// judgeCutCalls checks that no call that a replica ran is cut. Only runs in which replicas are sound and nodes end by
// planned stops are judged.
func (w *world) judgeCutCalls(calls []*sent, runs map[string][]platformtest.Run) {
	if !w.options.isSound() {
		return
	}
	for _, s := range calls {
		if ran := runs[s.id]; len(ran) > 0 && s.isCut() {
			w.violate("%s ran at %s and was cut by %s after %s: status %d, %v", s.id, ran[len(ran)-1].Replica, s.entry, s.endedAt.Sub(s.at).Round(time.Millisecond), s.status, s.err)
		}
	}
}

// isCut reports whether the call ended without an answer, in the middle of it, or because nobody knew what became of
// it.
func (s *sent) isCut() bool {
	return s.status == 0 || s.status == http.StatusOK && s.err != nil || s.status == http.StatusBadGateway
}

// isSound reports whether all that befalls the deployment is planned stops of nodes and replicas that are silent.
func (o *Options) isSound() bool {
	for _, e := range o.events() {
		if e.kind != stopNodes && e.kind != stopNode && e.kind != replicasSilent {
			return false
		}
	}
	return o.Crashers == 0 && o.PartCrash == nil && len(o.Endless) == 0
}
