package membership

import (
	"testing"
	"time"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/platform"
)

const (
	joinLimit  = 30 * time.Second
	deathLimit = 20 * time.Second
)

var sizes = []int{2, 4, 8, 16, 32, 60}

func joinedFleet(t testing.TB, n int) *fleet {
	f := newFleet(t)
	f.addRegion("r", n)
	f.runUntil(joinLimit, f.joined(n))
	return f
}

func TestKilledMemberIsDeclaredDead(t *testing.T) {
	for _, n := range sizes {
		f := joinedFleet(t, n)
		f.runFor(10 * time.Second)
		victim := nodeName("r", n-1)
		f.kill(victim)
		first := f.runUntil(deathLimit, func() bool { return f.anySees(victim, StateDead) })
		all := first + f.runUntil(deathLimit, func() bool { return f.allSee(victim, StateDead) })
		t.Logf("%2d members: declared dead by the first node after %v, by all after %v", n, first, all)
	}
}

func TestAsymmetricPartitionCausesNoDeaths(t *testing.T) {
	near, far := nodeName("r", 0), nodeName("r", 1)
	cuts := map[string]func(from, to string) bool{
		"one pair":                func(from, to string) bool { return from == near && to == far },
		"all calls to one member": func(_, to string) bool { return to == far },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := joinedFleet(t, 8)
			f.blocked = cut
			f.runFor(5 * time.Minute)
			counts := f.counts()
			t.Logf("in 5 min: %d failed probes, %d suspicions, %d deaths",
				counts.ProbeFailures, counts.Suspicions, counts.Deaths)
			if counts.Deaths != 0 || counts.ProbeFailures == 0 {
				t.Errorf("got %+v, want failed probes and no deaths", counts)
			}
		})
	}
}

func TestMessageLossCausesNoDeaths(t *testing.T) {
	for _, n := range []int{8, 60} {
		f := joinedFleet(t, n)
		f.lost = func(string, string) bool { return f.rng.IntN(100) < 5 }
		f.runFor(3 * time.Minute)
		counts := f.counts()
		t.Logf("%d members, 5%% of messages lost, 3 min: %d probes, %d failed, %d suspicions, %d refutations, %d deaths",
			n, counts.Probes, counts.ProbeFailures, counts.Suspicions, counts.Refutations, counts.Deaths)
		if counts.Deaths != 0 || counts.ProbeFailures == 0 {
			t.Errorf("got %+v, want failed probes and no deaths", counts)
		}
	}
}

func TestRestartedMemberRejoins(t *testing.T) {
	f := joinedFleet(t, 8)
	name := nodeName("r", 3)
	f.kill(name)
	f.runFor(2 * time.Second)
	restarted := f.add("r", 3, nodeName("r", 0))
	restarted.self.record.Incarnation = 5 // the clock went back
	f.runUntil(joinLimit, f.joined(8))
	f.runFor(time.Minute)
	if !f.joined(8)() {
		t.Error("the restarted member was removed again")
	}
	if got := restarted.self.record.Incarnation; got <= 5 {
		t.Errorf("incarnation %d is not above the one before the restart", got)
	}
}

func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	f := joinedFleet(t, 8)
	name := nodeName("r", 3)
	paused := f.tables[name]
	paused.HandleUnreachable(f.now, paused.newCall(f.now, CallProbe, paused.entries[nodeName("r", 4)]))
	f.kill(name)
	f.runFor(time.Minute)
	f.tables[name] = paused
	f.runUntil(joinLimit, f.joined(8))
	if deaths := paused.Counts().Deaths; deaths != 0 {
		t.Errorf("the paused node declared %d members dead", deaths)
	}
}

func TestHealedPartitionMerges(t *testing.T) {
	f := joinedFleet(t, 8)
	inFirstHalf := func(name string) bool { return name < nodeName("r", 4) }
	f.blocked = func(from, to string) bool { return inFirstHalf(from) != inFirstHalf(to) }
	f.runUntil(time.Minute, f.joined(4))
	f.runFor(2 * time.Minute)
	f.blocked = func(string, string) bool { return false }
	took := f.runUntil(2*time.Minute, f.joined(8))
	t.Logf("all members joined again %v after the partition healed", took)
}

func TestLeavingIsKnownToAllWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{8, 60} {
		f := joinedFleet(t, n)
		f.runFor(10 * time.Second)
		f.tables[nodeName("r", 1)].Leave(f.now)
		own := f.runUntil(3*time.Second, func() bool { return f.allSee(nodeName("r", 1), StateLeaving) })
		list := []platform.Instance{{Name: nodeName("r", 2), Address: nodeName("r", 2), State: platform.InstanceLeaving}}
		f.tables[nodeName("r", 0)].ApplyInstances(f.now, list)
		byList := f.runUntil(3*time.Second, func() bool { return f.allSee(nodeName("r", 2), StateLeaving) })
		t.Logf("%d members: leaving known to all %v after Leave, %v after a platform list at one node", n, own, byList)
		if got := f.tables[nodeName("r", 2)].Snapshot().Self().State; got != StateLeaving {
			t.Errorf("the member listed as leaving has state %s in its own view", got)
		}
		for _, table := range f.tables {
			for _, owner := range table.Snapshot().Owners("key", n) {
				if owner.State == StateLeaving {
					t.Fatalf("%s owns a key and is leaving", owner.Name)
				}
			}
		}
	}
}

// TestInstanceListNeverRemovesMembers also checks that a node which the list shows
// as live again serves only after resumeDelay.
func TestInstanceListNeverRemovesMembers(t *testing.T) {
	f := joinedFleet(t, 3)
	name := nodeName("r", 1)
	table := f.tables[name]
	for _, other := range f.tables {
		other.ApplyInstances(f.now, nil)
	}
	f.runFor(time.Minute)
	if !f.joined(3)() {
		t.Fatal("an empty list removed members")
	}
	live := []platform.Instance{{Name: name, Address: name, State: platform.InstanceLive}}
	leaving := []platform.Instance{{Name: name, Address: name, State: platform.InstanceLeaving}}
	table.ApplyInstances(f.now, leaving)
	f.runUntil(3*time.Second, func() bool { return f.allSee(name, StateLeaving) })
	table.ApplyInstances(f.now, live)
	if table.Snapshot().Self().State != StateLeaving {
		t.Error("the node served again at the first list, which may be stale")
	}
	f.runFor(resumeDelay)
	table.ApplyInstances(f.now, live)
	f.runUntil(3*time.Second, f.joined(3))
}

func TestReusedAddressDoesNotKeepOldMemberAlive(t *testing.T) {
	f := joinedFleet(t, 2)
	name := nodeName("r", 1)
	// Node 9 replaces node 1 at the same address.
	replacement := f.add("r", 9)
	f.kill(nodeName("r", 9))
	f.tables[name] = replacement
	f.runUntil(deathLimit, func() bool { return stateAt(f.tables[nodeName("r", 0)], name) == StateDead })
}

func TestNoteReachesAllOnceAndExpires(t *testing.T) {
	f := joinedFleet(t, 60)
	note := &membershipv1.Note{Kind: "k", Key: "a", Version: 2, Value: []byte("v"), Expires: f.now.Add(time.Minute).UnixMilli()}
	if err := f.tables[nodeName("r", 0)].Publish(f.now, note); err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	took := f.runUntil(3*time.Second, func() bool {
		for name, table := range f.tables {
			got[name] += len(table.TakeNotes())
		}
		return len(got)-1 == 59 && allAtLeast(got, 1, nodeName("r", 0))
	})
	f.runFor(10 * time.Second)
	for name, table := range f.tables {
		if got[name] += len(table.TakeNotes()); got[name] > 1 {
			t.Errorf("%s received the note %d times", name, got[name])
		}
	}
	t.Logf("the note reached all 60 members after %v", took)
	f.runFor(time.Minute)
	if left := f.tables[nodeName("r", 5)].notes.all(f.now); len(left) != 0 {
		t.Errorf("%d notes left after they expired", len(left))
	}
}

func allAtLeast(counts map[string]int, n int, except string) bool {
	for name, c := range counts {
		if c < n && name != except {
			return false
		}
	}
	return true
}

// TestFirstConfigurationIsKnownWithinASecond guards against a slow start of
// members: a member gets requests only once the others know its configuration.
func TestFirstConfigurationIsKnownWithinASecond(t *testing.T) {
	f := joinedFleet(t, 3)
	newest := f.tables[nodeName("r", 1)]
	newest.SetStatus(f.now, 0, 7)
	joining := f.add("r", 3, nodeName("r", 0))
	joining.self.configRevision = 0
	f.runFor(10 * time.Second)
	joining.SetStatus(f.now, 0, 7)
	took := f.runUntil(5*time.Second, func() bool {
		for _, m := range f.tables[nodeName("r", 0)].Snapshot().Members() {
			if m.Name == nodeName("r", 3) {
				return m.ConfigRevision == 7
			}
		}
		return false
	})
	if took > time.Second {
		t.Errorf("the first configuration of a member was known after %v, want at most 1s", took)
	}
}

func TestRevisionNeverDecreases(t *testing.T) {
	f := joinedFleet(t, 2)
	table := f.tables[nodeName("r", 0)]
	table.SetStatus(f.now, 0.5, 7)
	table.SetStatus(f.now, 0.9, 6)
	if got := table.Snapshot().Self().ConfigRevision; got != 7 {
		t.Errorf("revision decreased to %d", got)
	}
	f.runFor(5 * time.Second)
	for _, m := range f.tables[nodeName("r", 1)].Snapshot().Members() {
		if m.Name == nodeName("r", 0) && m.ConfigRevision != 7 {
			t.Errorf("the peer sees revision %d, want 7", m.ConfigRevision)
		}
	}
}
