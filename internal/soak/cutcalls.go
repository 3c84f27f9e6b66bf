package soak

import (
	"net/http"
	"time"

	"galenatrestle/platform/platformtest"
)

// judgeCutCalls checks that no call that a replica ran is cut. Only runs in which replicas are sound, but for answers
// without an end, and nodes end by planned stops are judged.
func (w *world) judgeCutCalls(calls []*sent, runs map[string][]platformtest.Run) {
	if !w.options.isSound() {
		return
	}
	// An answer without an end is broken off, or answered 502.
	answersEnd := len(w.options.Endless) == 0
	for _, s := range calls {
		if ran := runs[s.id]; len(ran) > 0 && (s.status == 0 || answersEnd && s.isBroken()) {
			w.violate("%s ran at %s and was cut by %s after %s: status %d, %v", s.id, ran[len(ran)-1].Replica, s.entry, s.endedAt.Sub(s.at).Round(time.Millisecond), s.status, s.err)
		}
	}
}

// isBroken reports whether the call's answer ended in the middle, or nobody knew what became of the call.
func (s *sent) isBroken() bool {
	return s.status == http.StatusOK && s.err != nil || s.status == http.StatusBadGateway
}

// isSound reports whether all that befalls the deployment, but for answers without an end, is planned stops of nodes and
// replicas that are silent.
func (o *Options) isSound() bool {
	for _, e := range o.events() {
		if e.kind != stopNodes && e.kind != stopNode && e.kind != replicasSilent {
			return false
		}
	}
	return o.Crashers == 0 && o.PartCrash == nil
}
