package membership

import (
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// HandleSync merges the gossip of a peer's Sync request and returns the response. The
// response has this node's own record only if the request does not name it with its
// current incarnation.
func (t *Table) HandleSync(now time.Time, r *membershipv1.SyncRequest) *membershipv1.SyncResponse {
	t.counts.SyncsHandled++
	sender := r.GetGossip().GetSender()
	if sender.GetRegion() != t.self.record.Region {
		return t.handleRegionSync(now, r)
	}
	t.mergeSender(now, sender)
	t.mergeGossip(now, r.GetGossip())
	recipient := t.entries[sender.GetName()]
	gossip := t.responseGossip(now, r, recipient)
	if r.Target != t.self.record.Name || r.TargetIncarnation != t.self.record.Incarnation {
		gossip.Sender = t.self.record
	}
	return &membershipv1.SyncResponse{Gossip: gossip}
}

func (t *Table) responseGossip(now time.Time, r *membershipv1.SyncRequest, recipient *entry) *membershipv1.Gossip {
	if r.WantAll {
		return t.fullGossip(now)
	}
	return t.gossip(now, recipient)
}

// mergeSender merges a peer's own record. A suspect that still sends messages gets
// a new suspicion timeout, as perhaps only the connection from here to it has failed.
func (t *Table) mergeSender(now time.Time, sender *membershipv1.Member) {
	t.mergeMember(now, sender)
	e, ok := t.entries[sender.GetName()]
	if ok && e.record.Liveness == suspect {
		e.deadline = now.Add(t.suspicionTimeout())
	}
}

// HandleResponse merges the response to a call.
func (t *Table) HandleResponse(now time.Time, c Call, r *membershipv1.SyncResponse) {
	gossip := r.GetGossip()
	sender := gossip.GetSender()
	if sender != nil && sender.GetRegion() != t.self.record.Region {
		t.handleRegionResponse(now, c, gossip)
		return
	}
	if sender != nil {
		t.mergeSender(now, sender)
	}
	if c.Kind == CallSeed {
		t.seeds.remove(c.Address)
	}
	t.mergeGossip(now, gossip)
	t.awareness = max(t.awareness-1, 0)
	t.checkTableHash(now, c, gossip.GetTableHash())
}

// checkTableHash schedules a full sync if several responses in a row had a different
// hash and neither a change of this table nor a full sync is within settleTime.
func (t *Table) checkTableHash(now time.Time, c Call, hash uint64) {
	if hash == t.hash {
		t.hashMismatches = 0
		return
	}
	t.hashMismatches++
	diverged := now.Sub(t.lastChange) > settleTime && t.hashMismatches >= fullSyncMismatches
	if !diverged || now.Sub(t.lastFullSync) < settleTime {
		return
	}
	t.hashMismatches = 0
	t.lastFullSync = now
	t.fullSyncTarget = c.Target
}

// HandleFailure records that a call got no response. It returns the indirect probes
// for a failed probe; without helpers the target becomes suspect at once. A failed
// seed call delays the next call to that seed.
func (t *Table) HandleFailure(now time.Time, c Call) []IndirectCall {
	if c.Kind == CallSeed || c.Kind == CallRegion {
		t.seeds.recordFailure(now, c.Address)
		return nil
	}
	e, ok := t.entries[c.Target]
	if c.Kind != CallProbe || !ok || e.record.Liveness == dead {
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
			Helper:  helper.record.Name,
			Address: helper.record.PeerAddress,
			Request: &membershipv1.ProbeRequest{Target: c.Target, PeerAddress: c.Address},
		})
	}
	return calls
}

// HandleIndirectSuccess records that a helper reached the target, which lowers
// awareness.
func (t *Table) HandleIndirectSuccess(time.Time, Call) { t.awareness = max(t.awareness-1, 0) }

// HandleUnreachable records that neither this node nor a helper reached the target.
// The target becomes suspect unless its incarnation has changed since the probe.
func (t *Table) HandleUnreachable(now time.Time, c Call) {
	t.awareness = min(t.awareness+1, maxAwareness)
	e, ok := t.entries[c.Target]
	if !ok || e.record.Liveness != alive || e.record.Incarnation != c.Request.GetTargetIncarnation() {
		return
	}
	t.updateMember(now, e, func(m *membershipv1.Member) { m.Liveness = suspect })
	t.applyLiveness(now, e)
	t.pushPending = true
}

// HandleProbe returns the call that probes a target on behalf of another member. Its
// failure is not passed to HandleFailure; the other member decides on the target.
func (t *Table) HandleProbe(now time.Time, r *membershipv1.ProbeRequest) Call {
	if e, ok := t.entries[r.GetTarget()]; ok && e != t.self {
		return t.newCall(now, CallPush, e)
	}
	gossip := t.gossip(now, nil)
	gossip.Sender = t.self.record
	return Call{
		Kind: CallPush, Target: r.GetTarget(), Address: r.GetPeerAddress(),
		Request: &membershipv1.SyncRequest{Gossip: gossip, Target: r.GetTarget()},
	}
}

// MatchesResponse reports whether the response came from the call's target, as another
// VM may have its address after a replacement. A response without a sender matches:
// HandleSync omits the sender only if the request names it.
func (c Call) MatchesResponse(r *membershipv1.SyncResponse) bool {
	sender := r.GetGossip().GetSender()
	return sender == nil || c.Target == "" || sender.GetName() == c.Target
}
