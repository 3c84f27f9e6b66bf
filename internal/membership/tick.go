package membership

import (
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// Tick returns the calls that are due. It should be called about ten times a
// second.
func (t *Table) Tick(now time.Time) []Call {
	t.extendAfterPause(now)
	t.expire(now)
	t.tickStatus(now)
	var calls []Call
	calls = append(calls, t.tickPush(now)...)
	calls = append(calls, t.tickFullSync(now)...)
	calls = append(calls, t.tickProbe(now)...)
	calls = append(calls, t.tickSeed(now)...)
	calls = append(calls, t.tickRegion(now)...)
	return calls
}

// extendAfterPause extends the deadlines of suspects by the time in which this process
// did not run, since their refutations may be unread in the sockets.
func (t *Table) extendAfterPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap < pauseThreshold {
		return
	}
	t.awareness = maxAwareness
	for _, e := range t.list {
		if e.record.Liveness == suspect {
			e.deadline = e.deadline.Add(gap)
		}
	}
}

func (t *Table) expire(now time.Time) {
	for _, e := range slices.Clone(t.list) {
		if e.deadline.IsZero() || now.Before(e.deadline) {
			continue
		}
		switch e.record.Liveness {
		case suspect:
			t.updateMember(now, e, func(m *membershipv1.Member) { m.Liveness = dead })
			t.applyLiveness(now, e)
		case dead:
			t.remove(e)
		}
	}
	t.regions.expire(now)
}

func (t *Table) tickStatus(now time.Time) {
	if now.Before(t.nextStatus) {
		return
	}
	t.SetStatus(now, float64(t.self.load)/loadSteps, t.self.configRevision)
}

func (t *Table) tickPush(now time.Time) []Call {
	if !t.pushPending {
		return nil
	}
	t.pushPending = false
	var calls []Call
	for _, e := range t.randomMembers(pushFanout, nil) {
		t.counts.Pushes++
		calls = append(calls, t.newCall(now, CallPush, e))
	}
	return calls
}

func (t *Table) tickFullSync(now time.Time) []Call {
	e, ok := t.entries[t.fullSyncTarget]
	t.fullSyncTarget = ""
	if !ok || e.record.Liveness == dead {
		return nil
	}
	call := t.newCall(now, CallFullSync, e)
	call.Request.WantAll = true
	return []Call{call}
}

func (t *Table) tickProbe(now time.Time) []Call {
	if now.Before(t.nextProbe) {
		return nil
	}
	interval := t.settings.ProbeInterval * time.Duration(1+t.awareness)
	t.nextProbe = now.Add(interval*9/10 + t.jitter(interval/5))
	e := t.nextProbeTarget()
	if e == nil {
		return nil
	}
	t.counts.Probes++
	return []Call{t.newCall(now, CallProbe, e)}
}

// nextProbeTarget returns the next member to probe. Each round has all members once,
// in random order.
func (t *Table) nextProbeTarget() *entry {
	for range 2 {
		for len(t.probeQueue) > 0 {
			last := len(t.probeQueue) - 1
			e, ok := t.entries[t.probeQueue[last]]
			t.probeQueue = t.probeQueue[:last]
			if ok && e.record.Liveness != dead {
				return e
			}
		}
		t.refillProbeQueue()
	}
	return nil
}

func (t *Table) refillProbeQueue() {
	for _, e := range t.list {
		if e != t.self {
			t.probeQueue = append(t.probeQueue, e.record.Name)
		}
	}
	t.rng.Shuffle(len(t.probeQueue), func(i, j int) { t.probeQueue[i], t.probeQueue[j] = t.probeQueue[j], t.probeQueue[i] })
}

// randomMembers returns up to n members that are alive, excluding this
// node and except.
func (t *Table) randomMembers(n int, except *entry) []*entry {
	var eligible []*entry
	for _, e := range t.list {
		if e != t.self && e != except && e.record.Liveness == alive {
			eligible = append(eligible, e)
		}
	}
	t.rng.Shuffle(len(eligible), func(i, j int) { eligible[i], eligible[j] = eligible[j], eligible[i] })
	return eligible[:min(n, len(eligible))]
}

func (t *Table) newCall(now time.Time, kind CallKind, e *entry) Call {
	gossip := t.gossip(now, e)
	gossip.Sender = t.self.record
	return Call{
		Kind:    kind,
		Target:  e.record.Name,
		Address: e.record.PeerAddress,
		Request: &membershipv1.SyncRequest{
			Gossip:            gossip,
			Target:            e.record.Name,
			TargetIncarnation: e.record.Incarnation,
		},
	}
}
