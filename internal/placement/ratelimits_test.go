package placement

import (
	"context"
	"testing"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ratelimit"
	"galenatrestle/internal/replica"
)

// limitedFleet is a fleet of which the first replicas name a rate, with permits that are all
// refused for a minute.
func limitedFleet(n, limited int) (*Placer, *ratelimit.Permits) {
	p, set := fleet(n, 1)
	table := ratelimit.NewTable(func() boottime.Instant { return 2 })
	permits := ratelimit.NewPermits(table)
	permits.SetAsk(func(context.Context, ratelimit.Limit) (ratelimit.Grant, error) {
		return ratelimit.Grant{RetryAfter: time.Minute}, nil
	})
	p.SetPermits(permits)
	for _, r := range set.ForUpstream("u")[:limited] {
		table.Answered(ratelimit.Answer{Replica: r, Limited: true, PerSecond: 1, At: 1})
	}
	return p, permits
}

// refuse has the permit of each replica that is chosen refused until one without a rate is.
func refuse(t *testing.T, p *Placer, permits *ratelimit.Permits) *Attempt {
	t.Helper()
	for {
		a := p.Choose(time.Now(), "u", short())
		if a == nil || !a.NeedsPermit {
			return a
		}
		if asked := permits.Acquire(t.Context(), time.Now(), &a.Replica); asked.Given() {
			t.Fatal("a permit was given")
		}
		a.End(time.Now(), Cancelled)
	}
}

func TestAReplicaWithoutAPermitLeftIsNotChosen(t *testing.T) {
	p, permits := limitedFleet(6, 4)
	for range 20 {
		a := refuse(t, p, permits)
		if a == nil {
			t.Fatal("no replica, though two name no rate")
		}
		if ratelimit.Limited(permits.Limits(), &a.Replica) {
			t.Fatalf("%s names a rate and is chosen without a permit", a.Replica.ID)
		}
	}
}

func TestWhereAllReplicasNameRatesNoneIsChosenWithoutAPermit(t *testing.T) {
	p, permits := limitedFleet(3, 3)
	if a := refuse(t, p, permits); a != nil {
		t.Fatalf("%s was chosen", a.Replica.ID)
	}
	found := p.RateLimited(time.Now(), "u")
	if found.Replicas != 3 || time.Until(found.NextPermitAt) < 50*time.Second {
		t.Errorf("found %+v", found)
	}
	if found := p.RateLimited(time.Now(), "other"); found.Replicas != 0 {
		t.Errorf("an upstream without replicas has limited ones: %+v", found)
	}
}

// A node of a large fleet looks at a few replicas that it draws; all of these may be without a
// permit.
func TestWhereAllDrawnReplicasNameRatesTheOthersAreLookedAt(t *testing.T) {
	p, permits := limitedFleet(40, 39)
	p.Choose(time.Now(), "u", short()).End(time.Now(), Cancelled)
	p.SetFleetLoads([]Load{{Replica: "i-00", Running: 400}}, nil, time.Now())
	for range 50 {
		a := refuse(t, p, permits)
		if a == nil || a.Replica.ID != "i-39" {
			t.Fatalf("chosen: %+v", a)
		}
		a.End(time.Now(), Cancelled)
	}
}

func TestARequestMayKeepFromReplicasThatNameRates(t *testing.T) {
	p, permits := limitedFleet(4, 3)
	request := short()
	request.ExcludeRateLimited = true
	for range 10 {
		if a := p.Choose(start, "u", request); a == nil || a.NeedsPermit || ratelimit.Limited(permits.Limits(), &a.Replica) {
			t.Fatalf("chosen: %+v", a)
		}
	}
}

// A replica whose permit was refused has not read the prompt, and other nodes must not hear
// that it has.
func TestAPlacementIsToldOnceItIsPermitted(t *testing.T) {
	p, _ := limitedFleet(1, 1)
	now := time.Now()
	refused := p.Choose(now, "u", long(100))
	refused.End(now, Cancelled)
	if told := p.Placements(now, time.Time{}); len(told) != 0 {
		t.Errorf("told after a refusal: %v", told)
	}
	p.Choose(now, "u", long(100)).PermitGranted(now)
	if told := p.Placements(now, time.Time{}); len(told) != 1 {
		t.Errorf("told after a permit: %v", told)
	}
}

func TestAnotherProcessUnderTheSameIdentityHasNoRate(t *testing.T) {
	p, _ := limitedFleet(1, 1)
	p.replicas.Update(replica.Listing{Revision: 2, Replicas: []replica.Replica{{ID: "i-00", StartedAt: 9, Upstream: "u", Slots: 32}}}, 3, 3)
	if a := p.Choose(start, "u", short()); a == nil || a.NeedsPermit {
		t.Errorf("chosen: %+v", a)
	}
}
