package placement

import (
	"context"
	"testing"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// limitedFleet returns a placer for n replicas of which the first ones are rate limited, with
// permits that are all refused for a minute.
func limitedFleet(n, limited int) (*Placer, *ratelimit.Permits) {
	p, set := newFleet(n, 1)
	table := ratelimit.NewTable(func() boottime.Instant { return 2 })
	permits := ratelimit.NewPermits(table)
	permits.SetAcquireFunc(func(context.Context, ratelimit.Ask) (ratelimit.Grant, error) {
		return ratelimit.Grant{RetryAfter: time.Minute}, nil
	})
	p.SetPermits(permits)
	for _, r := range set.ForUpstream("u")[:limited] {
		table.Observe(ratelimit.Observation{Replica: r, Limited: true, PerSecond: 1, ReceivedAt: 1})
	}
	return p, permits
}

func isLimited(permits *ratelimit.Permits, r *replica.Replica) bool {
	_, limited := permits.Limits().Of(r)
	return limited
}

// chooseRefusingPermits chooses replicas until one needs no permit or none is left; each
// needed permit is refused.
func chooseRefusingPermits(t *testing.T, p *Placer, permits *ratelimit.Permits) *Attempt {
	t.Helper()
	for {
		a := p.Choose(time.Now(), "u", short())
		if a == nil || !a.NeedsPermit {
			return a
		}
		if grant := permits.Acquire(t.Context(), time.Now(), &a.Replica, ratelimit.Urgency{}); grant.Granted() {
			t.Fatal("a permit was granted, want all permits refused")
		}
		a.End(time.Now(), Cancelled)
	}
}

func TestRateLimitedReplicaWithoutPermitIsNotChosen(t *testing.T) {
	p, permits := limitedFleet(6, 4)
	for range 20 {
		a := chooseRefusingPermits(t, p, permits)
		if a == nil {
			t.Fatal("no replica chosen, although two are not rate limited")
		}
		if isLimited(permits, &a.Replica) {
			t.Fatalf("rate limited replica %s was chosen without a permit", a.Replica.ID)
		}
	}
}

func TestNoReplicaIsChosenWhenAllAreRateLimited(t *testing.T) {
	p, permits := limitedFleet(3, 3)
	if a := chooseRefusingPermits(t, p, permits); a != nil {
		t.Fatalf("%s was chosen, want none", a.Replica.ID)
	}
	found := p.Restricted(time.Now(), "u", &Request{})
	if found.RateLimited != 3 || time.Until(found.NextAt) < 50*time.Second {
		t.Errorf("rate limited replicas: %+v, want 3 with the next permit in about a minute", found)
	}
	if found := p.Restricted(time.Now(), "other", &Request{}); found.RateLimited != 0 {
		t.Errorf("rate limited replicas of an upstream without replicas: %+v, want none", found)
	}
}

// A node of a large fleet considers a few random replicas, all of which may be without a
// permit.
func TestAllReplicasAreConsideredWhenSampledOnesAreRateLimited(t *testing.T) {
	p, permits := limitedFleet(40, 39)
	p.Choose(time.Now(), "u", short()).End(time.Now(), Cancelled)
	p.SetFleetLoads([]Load{{Replica: "i-00", Running: 400}}, nil, time.Now())
	for range 50 {
		a := chooseRefusingPermits(t, p, permits)
		if a == nil || a.Replica.ID != "i-39" {
			t.Fatalf("chose %+v, want i-39, the only replica that is not rate limited", a)
		}
		a.End(time.Now(), Cancelled)
	}
}

func TestRequestCanExcludeRateLimitedReplicas(t *testing.T) {
	p, permits := limitedFleet(4, 3)
	request := short()
	request.ExcludeRateLimited = true
	for range 10 {
		if a := p.Choose(start, "u", request); a == nil || a.NeedsPermit || isLimited(permits, &a.Replica) {
			t.Fatalf("chose %+v, want a replica that is not rate limited", a)
		}
	}
}

// A replica whose permit was refused has not prefilled the prompt, so its placement must not
// be announced.
func TestPlacementIsAnnouncedOnlyAfterPermit(t *testing.T) {
	p, _ := limitedFleet(1, 1)
	now := time.Now()
	refused := p.Choose(now, "u", long(100))
	refused.End(now, Cancelled)
	if announced := p.Placements(now, time.Time{}); len(announced) != 0 {
		t.Errorf("placements after a refused permit: %v, want none", announced)
	}
	p.Choose(now, "u", long(100)).PermitGranted(now)
	if announced := p.Placements(now, time.Time{}); len(announced) != 1 {
		t.Errorf("placements after a granted permit: %v, want one", announced)
	}
}

func TestRestartedReplicaIsNotRateLimited(t *testing.T) {
	p, _ := limitedFleet(1, 1)
	p.replicas.Update(replica.Listing{Revision: 2, Replicas: []replica.Replica{{ID: "i-00", StartedAt: 9, Upstream: "u", Slots: 32}}}, 3, 3)
	if a := p.Choose(start, "u", short()); a == nil || a.NeedsPermit {
		t.Errorf("chose %+v, want the restarted replica without a permit", a)
	}
}
