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
	f.fill("r", n)
	f.until(joinLimit, f.joined(n))
	return f
}

func TestKilledMemberIsFoundDead(t *testing.T) {
	for _, n := range sizes {
		f := joinedFleet(t, n)
		f.run(10 * time.Second)
		victim := nodeName("r", n-1)
		f.kill(victim)
		first := f.until(deathLimit, func() bool { return f.anyone(victim, StateDead) })
		all := first + f.until(deathLimit, func() bool { return f.everyone(victim, StateDead) })
		t.Logf("%2d members: dead at the first after %v, at all after %v", n, first, all)
	}
}

func TestOneWayCutKillsNobody(t *testing.T) {
	near, far := nodeName("r", 0), nodeName("r", 1)
	cuts := map[string]func(from, to string) bool{
		"one pair":        func(from, to string) bool { return from == near && to == far },
		"nobody calls it": func(_, to string) bool { return to == far },
	}
	for name, cut := range cuts {
		t.Run(name, func(t *testing.T) {
			f := joinedFleet(t, 8)
			f.blocked = cut
			f.run(5 * time.Minute)
			counts := f.counts()
			t.Logf("in 5 min: %d failed probes, %d suspicions, %d deaths",
				counts.ProbeFailures, counts.Suspicions, counts.Deaths)
			if counts.Deaths != 0 || counts.ProbeFailures == 0 {
				t.Errorf("got %+v, want failed probes and no deaths", counts)
			}
		})
	}
}

func TestMessageLossKillsNobody(t *testing.T) {
	for _, n := range []int{8, 60} {
		f := joinedFleet(t, n)
		f.lost = func(string, string) bool { return f.rng.IntN(100) < 5 }
		f.run(3 * time.Minute)
		counts := f.counts()
		t.Logf("%d members, 5%% of messages lost, 3 min: %d probes, %d failed, %d suspicions, %d refutations, %d deaths",
			n, counts.Probes, counts.ProbeFailures, counts.Suspicions, counts.Refutations, counts.Deaths)
		if counts.Deaths != 0 || counts.ProbeFailures == 0 {
			t.Errorf("got %+v, want failed probes and no deaths", counts)
		}
	}
}

func TestRestartedMemberComesBack(t *testing.T) {
	f := joinedFleet(t, 8)
	name := nodeName("r", 3)
	f.kill(name)
	f.run(2 * time.Second)
	back := f.add("r", 3, nodeName("r", 0))
	back.self.wire.Incarnation = 5 // a clock that went back
	f.until(joinLimit, f.joined(8))
	f.run(time.Minute)
	if !f.joined(8)() {
		t.Error("the restarted member was lost again")
	}
	if got := back.self.wire.Incarnation; got <= 5 {
		t.Errorf("incarnation %d does not come after the earlier life", got)
	}
}

func TestPausedNodeDeclaresNobodyDead(t *testing.T) {
	f := joinedFleet(t, 8)
	name := nodeName("r", 3)
	paused := f.tables[name]
	paused.HandleUnreachable(f.now, paused.call(f.now, CallProbe, paused.entries[nodeName("r", 4)]))
	f.kill(name)
	f.run(time.Minute)
	f.tables[name] = paused
	f.until(joinLimit, f.joined(8))
	if deaths := paused.Counts().Deaths; deaths != 0 {
		t.Errorf("the paused node declared %d members dead", deaths)
	}
}

func TestHealedPartitionJoinsAgain(t *testing.T) {
	f := joinedFleet(t, 8)
	side := func(name string) bool { return name < nodeName("r", 4) }
	f.blocked = func(from, to string) bool { return side(from) != side(to) }
	f.until(time.Minute, f.joined(4))
	f.run(2 * time.Minute)
	f.blocked = func(string, string) bool { return false }
	took := f.until(2*time.Minute, f.joined(8))
	t.Logf("whole again %v after the cut was healed", took)
}

func TestLeavingIsKnownToAllWithinThreeSeconds(t *testing.T) {
	for _, n := range []int{8, 60} {
		f := joinedFleet(t, n)
		f.run(10 * time.Second)
		f.tables[nodeName("r", 1)].Leave(f.now)
		own := f.until(3*time.Second, func() bool { return f.everyone(nodeName("r", 1), StateLeaving) })
		list := []platform.Instance{{Name: nodeName("r", 2), Address: nodeName("r", 2), State: platform.InstanceLeaving}}
		f.tables[nodeName("r", 0)].ApplyInstances(f.now, list)
		byList := f.until(3*time.Second, func() bool { return f.everyone(nodeName("r", 2), StateLeaving) })
		t.Logf("%d members: own word after %v, platform's list at one node after %v", n, own, byList)
		if got := f.tables[nodeName("r", 2)].Snapshot().Self().State; got != StateLeaving {
			t.Errorf("the member called leaving sees itself %s", got)
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

func TestListNeverKillsNorStopsForGood(t *testing.T) {
	f := joinedFleet(t, 3)
	name := nodeName("r", 1)
	table := f.tables[name]
	for _, other := range f.tables {
		other.ApplyInstances(f.now, nil)
	}
	f.run(time.Minute)
	if !f.joined(3)() {
		t.Fatal("an empty list took members out")
	}
	live := []platform.Instance{{Name: name, Address: name, State: platform.InstanceLive}}
	leaving := []platform.Instance{{Name: name, Address: name, State: platform.InstanceLeaving}}
	table.ApplyInstances(f.now, leaving)
	f.until(3*time.Second, func() bool { return f.everyone(name, StateLeaving) })
	table.ApplyInstances(f.now, live)
	if table.Snapshot().Self().State != StateLeaving {
		t.Error("the node came back at the first, perhaps old, list")
	}
	f.run(returnTime)
	table.ApplyInstances(f.now, live)
	f.until(3*time.Second, f.joined(3))
}

func TestOtherVMAtTheAddressIsNotTheTarget(t *testing.T) {
	f := joinedFleet(t, 2)
	name := nodeName("r", 1)
	stranger := f.add("r", 9)
	f.kill(nodeName("r", 9))
	f.tables[name] = stranger
	f.until(deathLimit, func() bool { return seen(f.tables[nodeName("r", 0)], name) == StateDead })
}

func TestNoteReachesAllOnceAndExpires(t *testing.T) {
	f := joinedFleet(t, 60)
	note := &membershipv1.Note{Kind: "k", Key: "a", Version: 2, Value: []byte("v"), Expires: f.now.Add(time.Minute).UnixMilli()}
	if err := f.tables[nodeName("r", 0)].Publish(f.now, note); err != nil {
		t.Fatal(err)
	}
	got := make(map[string]int)
	took := f.until(3*time.Second, func() bool {
		for name, table := range f.tables {
			got[name] += len(table.TakeNotes())
		}
		return len(got)-1 == 59 && allAtLeast(got, 1, nodeName("r", 0))
	})
	f.run(10 * time.Second)
	for name, table := range f.tables {
		if got[name] += len(table.TakeNotes()); got[name] > 1 {
			t.Errorf("%s got the note %d times", name, got[name])
		}
	}
	t.Logf("a note reached 60 members after %v", took)
	f.run(time.Minute)
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

// TestFirstConfigurationIsKnownWithinASecond has a member that joined without a
// configuration put one in force that the others have: callers are sent to it only
// once the others know.
func TestFirstConfigurationIsKnownWithinASecond(t *testing.T) {
	f := joinedFleet(t, 3)
	newest := f.tables[nodeName("r", 1)]
	newest.SetStatus(f.now, 0, 7)
	late := f.add("r", 3, nodeName("r", 0))
	late.self.revision = 0
	f.run(10 * time.Second)
	late.SetStatus(f.now, 0, 7)
	took := f.until(5*time.Second, func() bool {
		for _, m := range f.tables[nodeName("r", 0)].Snapshot().Members() {
			if m.Name == nodeName("r", 3) {
				return m.ConfigRevision == 7
			}
		}
		return false
	})
	if took > time.Second {
		t.Errorf("the first configuration of a member was known after %v", took)
	}
}

func TestRevisionNeverGoesBack(t *testing.T) {
	f := joinedFleet(t, 2)
	table := f.tables[nodeName("r", 0)]
	table.SetStatus(f.now, 0.5, 7)
	table.SetStatus(f.now, 0.9, 6)
	if got := table.Snapshot().Self().ConfigRevision; got != 7 {
		t.Errorf("revision went back to %d", got)
	}
	f.run(5 * time.Second)
	for _, m := range f.tables[nodeName("r", 1)].Snapshot().Members() {
		if m.Name == nodeName("r", 0) && m.ConfigRevision != 7 {
			t.Errorf("the peer sees revision %d", m.ConfigRevision)
		}
	}
}
