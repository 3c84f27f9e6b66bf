package credit

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

func newTestWallet(settings Settings) *Wallet {
	return NewWallet("vm-0", settings, rand.New(rand.NewPCG(1, 2)))
}

// needOf returns a need with n replicas, owned round robin by three nodes.
func needOf(n, waiting int) Need { return needOfOwners(n, 3, waiting) }

// needOfOwners is like needOf with the given number of owners.
func needOfOwners(n, owners, waiting int) Need {
	need := Need{Upstream: "u", Waiting: waiting}
	for i := range n {
		need.Replicas = append(need.Replicas, ReplicaNeed{
			Name: fmt.Sprintf("r%d", i), Owner: fmt.Sprintf("vm-%d", i%owners), Limit: 8,
		})
	}
	return need
}

func TestAllowanceFallsBackToFairPart(t *testing.T) {
	w := newTestWallet(Settings{})
	if got := w.Allowance(start, "r0", 24, 8); got != 3 {
		t.Errorf("before any grant: %d slots, want 3", got)
	}
	w.Apply(start, []Grant{{Replica: "r0", Slots: 7, For: DefaultLeaseTime}})
	if got := w.Allowance(start.Add(DefaultLeaseTime-1), "r0", 24, 8); got != 7 {
		t.Errorf("under a grant: %d slots, want 7", got)
	}
	if got := w.Allowance(start.Add(DefaultLeaseTime), "r0", 24, 8); got != 3 {
		t.Errorf("after the grant: %d slots, want 3", got)
	}
	if got := w.Allowance(start, "r1", 4, 60); got != 1 {
		t.Errorf("limit below the number of nodes: %d slots, want 1", got)
	}
}

func TestOneMessagePerOwnerAndInterval(t *testing.T) {
	w := newTestWallet(Settings{})
	needs := []Need{needOf(9, 0)}
	asks := w.Plan(start, needs)
	if len(asks) != 3 || len(asks["vm-1"]) != 3 {
		t.Fatalf("first plan: %v", asks)
	}
	messages := 0
	const intervals = 20
	for at := time.Duration(0); at < intervals*DefaultRenew; at += planInterval {
		messages += len(w.Plan(start.Add(at), needs))
	}
	if messages < 3*(intervals-3) || messages > 3*(intervals+3) {
		t.Errorf("%d messages to 3 owners in %d intervals", messages, intervals)
	}
}

func TestUrgentAsksAreBoundedAndRoundRobin(t *testing.T) {
	for _, test := range []struct {
		owners   int
		interval time.Duration
	}{
		{3, DefaultUrgent / 2},
		{maxFastAskOwners + 1, DefaultUrgent},
	} {
		t.Run(fmt.Sprintf("%d owners", test.owners), func(t *testing.T) {
			urgentAsks(t, test.owners, test.interval)
		})
	}
}

func urgentAsks(t *testing.T, owners int, interval time.Duration) {
	w := newTestWallet(Settings{Renew: time.Hour, LeaseTime: 3 * time.Hour, Owners: owners})
	needs := []Need{needOfOwners(3*owners, owners, 5)}
	w.Plan(start, needs)
	asked := make(map[string]int)
	const seconds = 60
	total := 0
	for at := time.Duration(0); at < seconds*time.Second; at += planInterval {
		for owner, asks := range w.Plan(start.Add(at), needs) {
			asked[owner]++
			total++
			sum := 0
			for _, a := range asks {
				sum += a.Want
			}
			if sum != 5 {
				t.Fatalf("%d slots wanted of one owner for 5 requests", sum)
			}
		}
	}
	bound := int(seconds*time.Second/interval) + 1
	if total > bound || total < bound/2 {
		t.Errorf("%d urgent asks in %d s, bound %d", total, seconds, bound)
	}
	if len(asked) != owners {
		t.Errorf("%d of %d owners were asked", len(asked), owners)
	}
	for owner, n := range asked {
		if n < total/owners-1 {
			t.Errorf("%s was asked %d of %d times", owner, n, total)
		}
	}
}

func TestSingleNodeIsUnbounded(t *testing.T) {
	w := newTestWallet(Settings{})
	need := needOf(2, 3)
	for replica, slots := range w.Allowances(start, need, 1) {
		if slots != Unbounded {
			t.Errorf("%s: %d slots for the only node, want no bound", replica, slots)
		}
	}
	for replica, slots := range w.Allowances(start, need, 2) {
		if slots != 4 {
			t.Errorf("%s: %d slots for one of two nodes, want 4", replica, slots)
		}
	}
}

func TestNoUrgentAskWithFreeSlot(t *testing.T) {
	w := newTestWallet(Settings{Renew: time.Hour, LeaseTime: 3 * time.Hour})
	needs := []Need{needOf(9, 5)}
	w.Plan(start, needs)
	w.Apply(start, []Grant{{Replica: "r4", Slots: 1, For: time.Hour}})
	if asks := w.Plan(start.Add(time.Minute), needs); len(asks) != 0 {
		t.Errorf("asked %v though a slot is free", asks)
	}
}

func TestSubsetIsStableAndKeepsReplicasInUse(t *testing.T) {
	w := newTestWallet(Settings{Owners: 1})
	need := needOf(30, 0)
	first := w.Subset(start, need)
	if len(first) != 10 {
		t.Fatalf("%d replicas chosen, want the 10 of one owner", len(first))
	}
	owners := make(map[string]bool)
	for _, r := range first {
		owners[r.Owner] = true
	}
	if len(owners) != 1 {
		t.Errorf("the chosen replicas have %d owners, want 1", len(owners))
	}
	chosen := make(map[string]bool)
	for _, r := range first {
		chosen[r.Name] = true
	}
	for i := range need.Replicas {
		if !chosen[need.Replicas[i].Name] {
			need.Replicas[i].Running = 1
			break
		}
	}
	if again := w.Subset(start.Add(time.Hour), need); len(again) != 11 {
		t.Errorf("%d replicas, want the same 10 and the one in use", len(again))
	}
}
