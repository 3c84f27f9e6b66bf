package soak

import (
	"net/http"
	"strings"
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	// revokeSlack and drainSlack are for the scheduling of a busy machine: the
	// times are taken in the soak's own process.
	revokeSlack = 300 * time.Millisecond
	drainSlack  = 1500 * time.Millisecond
	// leastServed is the part of the calls that must be served again once all
	// faults are over.
	leastServed = 0.9
	// recovery is the time after the last fault from which they count.
	recovery = 5 * time.Second
)

// judge checks what callers and replicas saw.
func (w *world) judge(calls []*sent) {
	runs := make(map[string][]platformtest.Run)
	for _, r := range w.runs.All() {
		runs[r.ID] = append(runs[r.ID], r)
		w.judgeRun(r)
	}
	for _, s := range calls {
		if !isCrashing(s) {
			w.judgeCall(s, runs[s.id])
		}
	}
	w.judgeStreams(calls)
	w.judgeRecovery(calls)
	w.judgeLimits(calls)
	w.judgeLeaving(calls)
	w.judgePauses(calls)
	w.judgeCrashes(calls)
	w.judgeParts(calls)
	w.judgeRetries(calls)
	w.judgeCuts(calls)
	w.judgeCutCalls(calls, runs)
	w.judgeEndless(calls, runs)
	w.judgeMemory()
	w.judgeFalls()
	w.judgeDuties()
	for _, n := range w.nodes {
		if n.exits > 0 {
			w.violate("%s ended by itself %d times", n.name, n.exits)
		}
	}
}

// isCrashing reports whether the call ends the replicas that run it.
func isCrashing(s *sent) bool { return s.path == platformtest.CrashPath || s.ends }

func (w *world) judgeRun(r platformtest.Run) {
	if r.Key != "" {
		w.violate("%s: the caller's key reached replica %s", r.ID, r.Replica)
	}
	drained, ok := w.drained[r.Replica]
	if late := r.At.Sub(drained) - drainWithin - drainSlack; ok && late > 0 && w.disturbedAt.Before(drained) {
		w.violate("%s: replica %s got it %s after its time to leave", r.ID, r.Replica, late)
	}
}

func (w *world) judgeCall(s *sent, runs []platformtest.Run) {
	once := strings.HasPrefix(s.path, "/claim/")
	if once && len(runs) > 1 {
		w.violate("%s ran %d times, first at %s and %s", s.id, len(runs), runs[0].Replica, runs[1].Replica)
	}
	if once && s.err == nil && promised(s.status) && len(runs) > 0 {
		w.violate("%s was answered %d and ran at %s", s.id, s.status, runs[0].Replica)
	}
	if revoked, ok := w.revoked[s.key]; ok && len(runs) > 0 && s.at.Sub(revoked) > revokeAfter+revokeSlack {
		w.violate("%s ran though its key %s was revoked %s before it was sent", s.id, s.key, s.at.Sub(revoked))
	}
	for _, r := range runs {
		if r.Workspace != "of-"+s.key {
			w.violate("%s ran as workspace %q with %s", s.id, r.Workspace, s.key)
		}
	}
	if s.whole() {
		w.judgeAnswer(s, runs)
	}
}

// promised says whether the status says that the call was not run.
func promised(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests ||
		status == http.StatusMisdirectedRequest || status == http.StatusRequestTimeout
}

func (w *world) judgeAnswer(s *sent, runs []platformtest.Run) {
	if s.stream == "" {
		if want := platformtest.Answer(s.id); s.body != want {
			w.violate("%s got %q, want %q", s.id, s.body, want)
		}
	} else if last := s.after + len(s.events); last != platformtest.Events(s.stream) || !s.isComplete() {
		w.violate("%s got %q, want the events up to %d", s.id, s.body, platformtest.Events(s.stream))
	}
	for _, r := range runs {
		if r.Replica == s.stamp {
			return
		}
	}
	w.violate("%s bears the stamp %q of a replica that did not run it", s.id, s.stamp)
}

// judgeRecovery checks that all is served once the faults are over.
func (w *world) judgeRecovery(calls []*sent) {
	asked, served := 0, 0
	for _, s := range calls {
		if !w.isOwed(s) || s.at.Before(w.disturbedAt.Add(recovery)) {
			continue
		}
		asked++
		if s.whole() {
			served++
		}
	}
	if asked == 0 || float64(served) < leastServed*float64(asked) {
		w.violate("%d of %d calls were served after the last fault", served, asked)
	}
}

// isOwed reports whether the call is to be served: its key is valid, and it does not end replicas.
func (w *world) isOwed(s *sent) bool {
	_, revoked := w.revoked[s.key]
	return !revoked && !isCrashing(s)
}

// judgeDuties checks what the holders of the duties told the platform: by the rules of
// fences, and that windows are reported again once all faults are over.
func (w *world) judgeDuties() {
	for _, broken := range w.duties.Judge.Violations() {
		w.violate("duties: %s", broken)
	}
	if len(w.duties.Judge.Reports()) == 0 {
		w.violate("duties: no window of usage was reported in %s", time.Since(w.began).Round(time.Second))
	}
}
