package placement

import (
	"testing"
	"time"
)

// copyableRequest returns a long prompt for an engine whose replicas copy cached parts from
// each other.
func copyableRequest(session uint64) *Request {
	r := long(session)
	r.CanCopyCache = true
	return r
}

// setPeerBacklog reports a prefill backlog on all replicas but one.
func setPeerBacklog(p *Placer, except string, tokens int) {
	var loads []Load
	for _, s := range p.upstream("u").all {
		load := Load{Replica: s.replica.ID, Running: 4}
		if s.replica.ID != except {
			load.PrefillBacklog = PrefillBacklog{tokens}
		}
		loads = append(loads, load)
	}
	p.SetPeerLoads("other", loads, false, 1, start)
}

// A session whose replica is busy moves to an idle one, which copies the cached parts, but
// only after they are prefilled.
func TestPartsAreCopiedFromReplicaThatPrefilledThem(t *testing.T) {
	const largeBacklog = 110_000
	for name, test := range map[string]struct {
		answerStarted time.Duration
		locatedAt     time.Duration
		copy          bool
	}{
		"after its answer started":       {300 * time.Millisecond, 400 * time.Millisecond, true},
		"during prefill":                 {0, 100 * time.Millisecond, false},
		"after the assumed prefill time": {0, assumedPrefillTime, true},
		"after the cache TTL":            {300 * time.Millisecond, cacheTTL + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := newFleet(12, 1)
			first := p.Choose(start, "u", copyableRequest(100))
			if test.answerStarted > 0 {
				first.AnswerStarted(start.Add(test.answerStarted))
			}
			location := locatePrefix(start.Add(test.locatedAt), copyableRequest(100), p.upstream("u").available, p.upstream("u").available)
			source := location.mostPrefilledAt(first.Replica.Version).state
			if prefilled := source != nil && source.replica.ID == first.Replica.ID; prefilled != test.copy {
				t.Errorf("%s located as having prefilled the parts: %v, want the opposite", first.Replica.ID, prefilled)
			}
			if !test.copy {
				return
			}
			idle := otherLongSideReplica(p, first.Replica.ID)
			setPeerBacklog(p, idle, largeBacklog)
			again := p.Choose(start.Add(test.locatedAt), "u", copyableRequest(100))
			if again.Replica.ID != idle || again.CopyFrom != first.Replica.Address {
				t.Errorf("placed on %s copying from %q, want %s and %q", again.Replica.ID, again.CopyFrom, idle, first.Replica.Address)
			}
			if again.Choice.CachedTokens != copyableRequest(100).sharedTokens() {
				t.Errorf("%d cached tokens including the copy, want all shared ones", again.Choice.CachedTokens)
			}
		})
	}
}

// otherLongSideReplica returns a replica of the long side other than id.
func otherLongSideReplica(p *Placer, id string) string {
	open := p.upstream("u").available
	for i := len(open) - 1; i >= 0; i-- {
		if open[i].replica.ID != id {
			return open[i].replica.ID
		}
	}
	return ""
}

// Guards against cached parts that are copied from a replica of another software version.
func TestPartsAreNotCopiedFromAnotherVersion(t *testing.T) {
	p, set := newFleet(12, 1)
	first := p.Choose(start, "u", copyableRequest(100))
	first.AnswerStarted(start.Add(300 * time.Millisecond))
	p.upstream("u").states[first.Replica.ID].replica.Version = "v2"
	later := start.Add(400 * time.Millisecond)
	location := locatePrefix(later, copyableRequest(100), p.upstream("u").available, p.upstream("u").available)
	for _, r := range set.ForUpstream("u") {
		s := p.upstream("u").states[r.ID]
		if s.replica.Version == "v2" {
			continue
		}
		if source := location.source(s, 0); source != nil || location.copyableTokens(s, 0) != 0 {
			t.Fatalf("%s copies %d tokens from %+v", r.ID, location.copyableTokens(s, 0), source)
		}
	}
	// Where nobody is known to have the parts, the primary replicas copy from each other.
	location = locatePrefix(later, copyableRequest(150), p.upstream("u").available, p.upstream("u").available)
	location.primary.replica.Version = "v3"
	if source := location.source(location.secondary, 0); source != nil {
		t.Errorf("the secondary replica copies from the primary one of another version")
	}
}

// After a restart of all nodes, the primary and secondary replicas copy from each other.
func TestUnknownPrefixIsCopiedBetweenPrimaryAndSecondary(t *testing.T) {
	p, _ := newFleet(12, 1)
	a := p.Choose(start, "u", copyableRequest(100))
	location := locatePrefix(start, copyableRequest(150), p.upstream("u").available, p.upstream("u").available)
	if location.primary == nil || location.secondary == nil || location.primary == location.secondary {
		t.Fatalf("primary %v and secondary %v, want two different replicas", location.primary, location.secondary)
	}
	if source := location.source(location.primary, 0); source != location.secondary {
		t.Errorf("the primary copies from %v, want the secondary", source)
	}
	if source := location.source(location.secondary, 0); source != location.primary {
		t.Errorf("the secondary copies from %v, want the primary", source)
	}
	a.End(start, Cancelled)
	b := p.Choose(start, "u", long(100))
	if b.CopyFrom != "" {
		t.Errorf("copies from %s although the engine does not support it", b.CopyFrom)
	}
}

// A prompt waits only for prompts of its own and more urgent ranks.
func TestPrefillAheadExcludesLessUrgentRanks(t *testing.T) {
	p, set := newFleet(1, 1)
	id := set.ForUpstream("u")[0].ID
	p.Choose(start, "u", &Request{}).End(start, Cancelled)
	p.SetPeerLoads("other", []Load{{Replica: id, Running: 2, PrefillBacklog: PrefillBacklog{0, 1000, 0, 50_000}}}, false, 1, start)
	for rank, want := range map[int]int{0: 0, 1: 1000, 2: 1000, 3: 51_000, 12: 51_000} {
		r := short()
		r.Rank = rank
		a := p.Choose(start, "u", r)
		if a.Choice.PrefillAhead != want || a.Choice.PendingPrefill != 51_000 {
			t.Errorf("rank %d: %d tokens ahead of %d, want %d of 51000", rank, a.Choice.PrefillAhead, a.Choice.PendingPrefill, want)
		}
		a.End(start, Cancelled)
	}
}
