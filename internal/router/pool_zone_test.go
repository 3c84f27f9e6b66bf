package router

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
)

// A retry leaves the availability zones in which it failed, but only where
// another one has a free replica.
func TestRetryLeavesTheZonesItFailedIn(t *testing.T) {
	tests := []struct {
		name  string
		avoid []string
		busy  []string
		want  []string
	}{
		{"first attempt", nil, nil, []string{"a", "b", "c"}},
		{"one zone failed", []string{"a"}, nil, []string{"c"}},
		{"the other zone is busy", []string{"a"}, []string{"c"}, []string{"b"}},
		{"all zones failed", []string{"a", "c"}, nil, []string{"b"}},
		{"a replica that is gone", []string{"x"}, nil, []string{"a", "b", "c"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			bound := make(map[string]bool)
			for seed := range 40 {
				bound[bindOne(t, uint64(seed), test.avoid, test.busy)] = true
			}
			for name := range bound {
				if !slices.Contains(test.want, name) {
					t.Errorf("bound to %s, want one of %v", name, test.want)
				}
			}
			if len(bound) != len(test.want) {
				t.Errorf("bound to %v, want each of %v at times", bound, test.want)
			}
		})
	}
}

// bindOne returns the replica that a request is bound to.
func bindOne(t *testing.T, seed uint64, avoid, busy []string) string {
	t.Helper()
	p := zonePool(seed)
	for _, name := range busy {
		p.SetAllowance(name, 0)
	}
	r := request(strconv.FormatUint(seed, 10), "quick")
	r.Avoid = avoid
	mustSubmit(t, p, r)
	events := p.Decide(start)
	if len(events) != 1 || events[0].Replica == nil {
		t.Fatalf("Next = %+v, want one binding", events)
	}
	return events[0].Replica.Name
}

// zonePool has two replicas in one zone and one in another; its node is in a
// third, so that none is nearer.
func zonePool(seed uint64) *Pool {
	return NewPool(Options{
		Classes: testClasses(), Rand: rand.New(rand.NewPCG(seed, 1)), AvailabilityZone: "depot-hall",
		Replicas: []Replica{
			{Name: "a", AvailabilityZone: "saskatoon-hall", Slots: 1},
			{Name: "b", AvailabilityZone: "saskatoon-hall", Slots: 1},
			{Name: "c", AvailabilityZone: "regina-hall", Slots: 1},
		},
	})
}
