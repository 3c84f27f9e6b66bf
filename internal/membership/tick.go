package membership

import (
	"slices"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
)

// Tick does what is due and returns the messages to send. It is called about
// ten times a second; most calls return nothing.
func (t *Table) Tick(now time.Time) []Call {
	t.afterPause(now)
	t.expire(now)
	t.tickStatus(now)
	var calls []Call
	calls = append(calls, t.tickPush(now)...)
	calls = append(calls, t.tickWhole(now)...)
	calls = append(calls, t.tickProbe(now)...)
	calls = append(calls, t.tickSeed(now)...)
	calls = append(calls, t.tickRegion(now)...)
	return calls
}

// afterPause gives suspects back the time in which this process did not run:
// their refutations wait unread in the sockets.
func (t *Table) afterPause(now time.Time) {
	gap := now.Sub(t.lastTick)
	t.lastTick = now
	if gap < pauseTime {
		return
	}
	t.awareness = maxAwareness
	for _, e := range t.list {
		if e.wire.Liveness == suspect {
			e.deadline = e.deadline.Add(gap)
		}
	}
}

// expire turns suspects that did not refute into dead ones, and forgets old
// dead ones.
func (t *Table) expire(now time.Time) {
	for _, e := range slices.Clone(t.list) {
		if e.deadline.IsZero() || now.Before(e.deadline) {
			continue
		}
		switch e.wire.Liveness {
		case suspect:
			t.change(now, e, func(m *membershipv1.Member) { m.Liveness = dead })
			t.setDeadline(now, e)
		case dead:
			t.remove(e)
		}
	}
	t.regions.expire(now)
}

// tickStatus renews this node's status where SetStatus is not called.
func (t *Table) tickStatus(now time.Time) {
	if now.Before(t.nextStatus) {
		return
	}
	t.SetStatus(now, float64(t.self.load)/loadSteps, t.self.revision)
}

func (t *Table) tickPush(now time.Time) []Call {
	if !t.urgent {
		return nil
	}
	t.urgent = false
	var calls []Call
	for _, e := range t.randomMembers(pushFanout, nil) {
		t.counts.Pushes++
		calls = append(calls, t.call(now, CallPush, e))
	}
	return calls
}

func (t *Table) tickWhole(now time.Time) []Call {
	e, ok := t.entries[t.askWhole]
	t.askWhole = ""
	if !ok || e.wire.Liveness == dead {
		return nil
	}
	call := t.call(now, CallFullSync, e)
	call.Request.WantAll = true
	return []Call{call}
}

func (t *Table) tickProbe(now time.Time) []Call {
	if now.Before(t.nextProbe) {
		return nil
	}
	interval := t.settings.ProbeInterval * time.Duration(1+t.awareness)
	t.nextProbe = now.Add(interval*9/10 + t.jitter(interval/5))
	e := t.nextTarget()
	if e == nil {
		return nil
	}
	t.counts.Probes++
	return []Call{t.call(now, CallProbe, e)}
}

// nextTarget goes through the members in rounds of random order, so that each
// is probed within two rounds at the latest.
func (t *Table) nextTarget() *entry {
	for range 2 {
		for len(t.order) > 0 {
			last := len(t.order) - 1
			e, ok := t.entries[t.order[last]]
			t.order = t.order[:last]
			if ok && e.wire.Liveness != dead {
				return e
			}
		}
		t.shuffle()
	}
	return nil
}

func (t *Table) shuffle() {
	for _, e := range t.list {
		if e != t.self {
			t.order = append(t.order, e.wire.Name)
		}
	}
	t.rng.Shuffle(len(t.order), func(i, j int) { t.order[i], t.order[j] = t.order[j], t.order[i] })
}

// randomMembers returns up to n members that are alive, this node and except
// left out.
func (t *Table) randomMembers(n int, except *entry) []*entry {
	var some []*entry
	for _, e := range t.list {
		if e != t.self && e != except && e.wire.Liveness == alive {
			some = append(some, e)
		}
	}
	t.rng.Shuffle(len(some), func(i, j int) { some[i], some[j] = some[j], some[i] })
	return some[:min(n, len(some))]
}

func (t *Table) call(now time.Time, kind CallKind, e *entry) Call {
	gossip := t.gossip(now, e)
	gossip.Sender = t.self.wire
	return Call{
		Kind:    kind,
		Target:  e.wire.Name,
		Address: e.wire.PeerAddress,
		Request: &membershipv1.SyncRequest{
			Gossip:            gossip,
			Target:            e.wire.Name,
			TargetIncarnation: e.wire.Incarnation,
		},
	}
}
