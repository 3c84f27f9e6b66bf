package soak

import (
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	// noticeLasts is how long a replica says in its answers that it leaves before its
	// registration does: several times what nodes may take to stop sending.
	noticeLasts = 3 * drainWithin
	// pauseLasts is how long a replica refuses all requests, pauseWanted the pause that each
	// refusal asks for.
	pauseLasts  = 4 * time.Second
	pauseWanted = 2 * time.Second
	// pauseSlack is the time after a refusal in which further requests may arrive, and
	// pauseAllowance the number that may arrive between it and the end of the pause.
	pauseSlack     = 500 * time.Millisecond
	pauseAllowance = 2
)

// announceLeaving has the replica say in its answers that it leaves, and drains it after the
// event's time.
func (w *world) announceLeaving(r *runningReplica, e event) {
	r.handler.SetLeaving(true)
	w.pauseThen(e.lasts, func() { w.leave(r, r.version) })
}

// askForPause has the replica refuse requests for the event's time.
func (w *world) askForPause(r *runningReplica, e event) {
	r.handler.SetPause(pauseWanted)
	w.pauseThen(e.lasts, func() { r.handler.SetPause(0) })
}

// senders are the nodes that the calls were sent to, by the calls' IDs.
func senders(calls []*sent) map[string]*sent {
	byID := make(map[string]*sent, len(calls))
	for _, s := range calls {
		byID[s.id] = s
	}
	return byID
}

// link is a node and a replica that it sends to.
type link struct{ entry, replica string }

// judgeLeaving checks that no node sent a call to a replica later than drainWithin after it
// had passed on an answer that said that the replica leaves. A restart or a freeze of the node
// excuses it.
func (w *world) judgeLeaving(calls []*sent) {
	told := make(map[link]time.Time)
	for _, s := range calls {
		at := link{s.entry, s.stamp}
		if !s.leaving || s.endedAt.IsZero() {
			continue
		}
		if first, found := told[at]; !found || s.endedAt.Before(first) {
			told[at] = s.endedAt
		}
	}
	byID := senders(calls)
	for _, a := range w.runs.Arrivals() {
		s := byID[a.ID]
		if s == nil {
			continue
		}
		since, found := told[link{s.entry, a.Replica}]
		if found && s.at.Sub(since) > drainWithin && !w.disturbedBetween(s.entry, since, a.At) {
			w.violate("%s reached replica %s, sent %s after an answer had told %s that it leaves", s.id, a.Replica, s.at.Sub(since).Round(time.Millisecond), s.entry)
		}
	}
}

// judgePauses checks that a replica that asked a node for a pause got at most pauseAllowance
// requests from it until the pause was over. A disturbance of the node excuses it.
func (w *world) judgePauses(calls []*sent) {
	byID := senders(calls)
	arrivals := make(map[link][]platformtest.Arrival)
	for _, a := range w.runs.Arrivals() {
		if s := byID[a.ID]; s != nil {
			at := link{s.entry, a.Replica}
			arrivals[at] = append(arrivals[at], a)
		}
	}
	for at, list := range arrivals {
		for i, refused := range list {
			if refused.Pause == 0 || w.disturbedBetween(at.entry, refused.At.Add(-rateStable), refused.At.Add(refused.Pause)) {
				continue
			}
			if n := arrivedDuring(refused, list[i+1:]); n > pauseAllowance {
				w.violate("replica %s asked %s for a pause of %s and got %d requests in it", at.replica, at.entry, refused.Pause, n)
			}
		}
	}
}

// arrivedDuring counts the requests that arrived in the refusal's pause.
func arrivedDuring(refused platformtest.Arrival, later []platformtest.Arrival) int {
	count := 0
	for _, a := range later {
		if after := a.At.Sub(refused.At); after > pauseSlack && after < refused.Pause {
			count++
		}
	}
	return count
}

// disturbedBetween reports whether the node's process was disturbed between the two times.
func (w *world) disturbedBetween(entry string, from, to time.Time) bool {
	for _, n := range w.nodes {
		if n.entry != entry {
			continue
		}
		for _, at := range n.disturbances {
			if !at.Before(from) && at.Before(to) {
				return true
			}
		}
	}
	return false
}
