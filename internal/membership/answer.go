package membership

import (
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// HandleSync takes in a peer's message and returns the answer.
func (t *Table) HandleSync(now time.Time, r *membershipv1.SyncRequest) *membershipv1.SyncResponse {
	t.counts.SyncsHandled++
	sender := r.GetGossip().GetSender()
	if sender.GetRegion() != t.self.wire.Region {
		return t.handleRegion(now, r)
	}
	t.heardFrom(now, sender)
	t.mergeGossip(now, r.GetGossip())
	about := t.entries[sender.GetName()]
	gossip := t.answerGossip(now, r, about)
	if r.Target != t.self.wire.Name || r.TargetIncarnation != t.self.wire.Incarnation {
		gossip.Sender = t.self.wire
	}
	return &membershipv1.SyncResponse{Gossip: gossip}
}

func (t *Table) answerGossip(now time.Time, r *membershipv1.SyncRequest, about *entry) *membershipv1.Gossip {
	if r.WantAll {
		return t.wholeGossip(now)
	}
	return t.gossip(now, about)
}

// heardFrom merges a peer's own word of itself. A suspect that still speaks
// gets the full time to refute again: what is cut may be the way to it alone.
func (t *Table) heardFrom(now time.Time, sender *membershipv1.Member) {
	t.mergeMember(now, sender)
	e, ok := t.entries[sender.GetName()]
	if ok && e.wire.Liveness == suspect {
		e.deadline = now.Add(t.suspicionTime())
	}
}

// HandleResponse takes in the answer to a call.
func (t *Table) HandleResponse(now time.Time, c Call, r *membershipv1.SyncResponse) {
	gossip := r.GetGossip()
	sender := gossip.GetSender()
	if sender != nil && sender.GetRegion() != t.self.wire.Region {
		t.answeredRegion(now, c, gossip)
		return
	}
	if sender != nil {
		t.heardFrom(now, sender)
	}
	if c.Kind == CallSeed {
		t.seeds.answered(c.Address)
	}
	t.mergeGossip(now, gossip)
	t.awareness = max(t.awareness-1, 0)
	t.compareHash(now, c, gossip.GetTableHash())
}

// compareHash asks for the whole table where those of several peers in a row
// differ though nothing has changed here for a while.
func (t *Table) compareHash(now time.Time, c Call, hash uint64) {
	if hash == t.hash {
		t.mismatches = 0
		return
	}
	t.mismatches++
	settled := now.Sub(t.changed) > settleTime && t.mismatches >= mismatchesToAsk
	if !settled || now.Sub(t.lastWantAll) < settleTime {
		return
	}
	t.mismatches = 0
	t.lastWantAll = now
	t.askWhole = c.Target
}

// HandleFailure tells that a call got no answer. For a heartbeat it returns the
// indirect probes to send; where there is nobody to ask the target is
// suspected at once.
func (t *Table) HandleFailure(now time.Time, c Call) []IndirectCall {
	if c.Kind == CallSeed || c.Kind == CallRegion {
		t.seeds.failed(now, c.Address)
		return nil
	}
	e, ok := t.entries[c.Target]
	if c.Kind != CallProbe || !ok || e.wire.Liveness == dead {
		return nil
	}
	t.counts.ProbeFailures++
	helpers := t.randomMembers(t.settings.IndirectProbes, e)
	if len(helpers) == 0 {
		t.HandleUnreachable(now, c)
		return nil
	}
	var calls []IndirectCall
	for _, helper := range helpers {
		t.counts.IndirectProbes++
		calls = append(calls, IndirectCall{
			Helper:  helper.wire.Name,
			Address: helper.wire.PeerAddress,
			Request: &membershipv1.ProbeRequest{Target: c.Target, PeerAddress: c.Address},
		})
	}
	return calls
}

// HandleIndirectSuccess tells that a helper reached the target: what is cut is this node's
// own way to it.
func (t *Table) HandleIndirectSuccess(time.Time, Call) { t.awareness = max(t.awareness-1, 0) }

// HandleUnreachable tells that neither this node nor its helpers reached the target,
// which is suspected at the incarnation that was probed.
func (t *Table) HandleUnreachable(now time.Time, c Call) {
	t.awareness = min(t.awareness+1, maxAwareness)
	e, ok := t.entries[c.Target]
	if !ok || e.wire.Liveness != alive || e.wire.Incarnation != c.Request.GetTargetIncarnation() {
		return
	}
	t.change(now, e, func(m *membershipv1.Member) { m.Liveness = suspect })
	t.setDeadline(now, e)
	t.urgent = true
}

// HandleProbe returns the message by which this node probes a target for another.
func (t *Table) HandleProbe(now time.Time, r *membershipv1.ProbeRequest) Call {
	if e, ok := t.entries[r.GetTarget()]; ok && e != t.self {
		return t.call(now, CallPush, e)
	}
	gossip := t.gossip(now, nil)
	gossip.Sender = t.self.wire
	return Call{
		Kind: CallPush, Target: r.GetTarget(), Address: r.GetPeerAddress(),
		Request: &membershipv1.SyncRequest{Gossip: gossip, Target: r.GetTarget()},
	}
}

// MatchesResponse reports whether an answer came from the call's target: after a
// replacement another VM may have the address.
func (c Call) MatchesResponse(r *membershipv1.SyncResponse) bool {
	sender := r.GetGossip().GetSender()
	return sender == nil || c.Target == "" || sender.GetName() == c.Target
}
