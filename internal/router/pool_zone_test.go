package router

import (
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
)

// A retry must leave the zones of failed attempts if a replica elsewhere is free,
// and must not wait for one otherwise.
func TestRetryPrefersZonesWithoutFailures(t *testing.T) {
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
				t.Errorf("bound to %v over all seeds, want each of %v", bound, test.want)
			}
		})
	}
}

func bindOne(t *testing.T, seed uint64, avoid, busy []string) string {
	t.Helper()
	p := zonePool(seed)
	for _, name := range busy {
		p.SetAllowance(name, 0)
	}
	r := request(strconv.FormatUint(seed, 10), "quick")
	r.Avoid = avoid
	mustSubmit(t, p, r)
	decisions := p.Decide(start)
	if len(decisions) != 1 || decisions[0].Replica == nil {
		t.Fatalf("Decide = %+v, want one binding", decisions)
	}
	return decisions[0].Replica.Name
}

// zonePool has two replicas in one zone and one in another, none in the zone of the node.
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
