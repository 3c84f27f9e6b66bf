package routertest

import (
	"testing"
	"time"

	"galenatrestle/internal/router"
)

const (
	compareDuration = 400 * time.Second
	compareSeed     = 7
)

func scenario(name string, pools int, load float64, without router.Features) Scenario {
	return Scenario{
		Name: name, Seed: compareSeed, Pools: pools, Replicas: 20, Slots: Knee / pools,
		Load: load, Duration: compareDuration, Without: without,
	}
}

func TestCompare(t *testing.T) {
	policies := []struct {
		name    string
		without router.Features
	}{
		{"baseline", router.Baseline},
		{"slack", router.Features{MinShare: true, Estimates: true, FairShare: true}},
		{"slack+fair", router.Features{MinShare: true, Estimates: true}},
		{"slack+fair+min share", router.Features{Estimates: true}},
		{"all", router.Features{}},
	}
	t.Log("\n" + TableHead)
	for _, pools := range []int{1, 8} {
		for _, load := range []float64{0.7, 1.0, 1.5, 2.0} {
			for _, policy := range policies {
				s := scenario(policy.name, pools, load, policy.without)
				o := Run(s)
				t.Log("\n"+o.Row(s), o.Classes[0].Refused, o.Classes[1].Refused, o.Classes[2].Refused)
			}
			s := scenario("clairvoyant", pools, load, router.Baseline)
			s.Clairvoyant = true
			o := Run(s)
			t.Log("\n"+o.Row(s), o.Classes[0].Refused, o.Classes[1].Refused, o.Classes[2].Refused)
		}
	}
}
