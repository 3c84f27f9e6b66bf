package placement

import (
	"testing"
	"time"
)

// copying is a long prompt for an engine whose replicas copy from each other.
func copying(session uint64) *Request {
	r := long(session)
	r.CanCopyCache = true
	return r
}

// loaded has all replicas but one busy reading.
func loaded(p *Placer, except string, tokens int) {
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

// A session whose replica has much to read goes to an idle one, which copies what was
// read: but not before it was read, which would bring nothing.
func TestPartsAreCopiedFromTheReplicaThatHasReadThem(t *testing.T) {
	const muchToRead = 110_000
	for name, test := range map[string]struct {
		begun time.Duration
		asked time.Duration
		copy  bool
	}{
		"after its answer began":        {300 * time.Millisecond, 400 * time.Millisecond, true},
		"while it is being read":        {0, 100 * time.Millisecond, false},
		"when it must have been read":   {0, readAfter, true},
		"when its cache has dropped it": {300 * time.Millisecond, cachedFor + time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			p, _ := fleet(12, 1)
			first := p.Choose(start, "u", copying(100))
			if test.begun > 0 {
				first.AnswerStarted(start.Add(test.begun))
			}
			where := findPrefix(start.Add(test.asked), copying(100), p.upstream("u").openNow, p.upstream("u").openNow)
			if held := where.holder != nil && where.holder.replica.ID == first.Replica.ID; held != test.copy {
				t.Errorf("%s counts as having read the parts: %v", first.Replica.ID, held)
			}
			if !test.copy {
				return
			}
			idle := otherThan(p, first.Replica.ID)
			loaded(p, idle, muchToRead)
			again := p.Choose(start.Add(test.asked), "u", copying(100))
			if again.Replica.ID != idle || again.CopyFrom != first.Replica.Address {
				t.Errorf("it went to %s and copies from %q, want %s and %q", again.Replica.ID, again.CopyFrom, idle, first.Replica.Address)
			}
			if again.Choice.CachedTokens != copying(100).sharedTokens() {
				t.Errorf("%d tokens count as cached with the copy", again.Choice.CachedTokens)
			}
		})
	}
}

// otherThan is a replica of the heavy side that is not the given one.
func otherThan(p *Placer, id string) string {
	open := p.upstream("u").openNow
	for i := len(open) - 1; i >= 0; i-- {
		if open[i].replica.ID != id {
			return open[i].replica.ID
		}
	}
	return ""
}

// After a restart of all nodes none knows where a session is: the first home is asked
// for it, and may copy from the second.
func TestANodeThatKnowsNothingAsksBothHomes(t *testing.T) {
	p, _ := fleet(12, 1)
	a := p.Choose(start, "u", copying(100))
	where := findPrefix(start, copying(150), p.upstream("u").openNow, p.upstream("u").openNow)
	if where.home == nil || where.second == nil || where.home == where.second {
		t.Fatalf("homes %v and %v", where.home, where.second)
	}
	if source := where.source(where.home, 0); source != where.second {
		t.Errorf("the first home copies from %v", source)
	}
	if source := where.source(where.second, 0); source != where.home {
		t.Errorf("the second home copies from %v", source)
	}
	a.End(start, Cancelled)
	b := p.Choose(start, "u", long(100))
	if b.CopyFrom != "" {
		t.Errorf("copies from %s though the engine can't", b.CopyFrom)
	}
}

// A prompt waits for those of its own rank and before; engines read the others later.
func TestLessUrgentPromptsAreNotAhead(t *testing.T) {
	p, set := fleet(1, 1)
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
