package placement

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"galenatrestle/internal/replica"
)

func BenchmarkChoose(b *testing.B) {
	for _, replicas := range []int{12, 60, 3000} {
		b.Run(fmt.Sprintf("replicas=%d", replicas), func(b *testing.B) {
			p, now := benchPlacer(replicas)
			for i := range b.N {
				a := p.Choose(now, "u", &Request{PromptTokens: 900, Shared: []PromptPart{{ID: uint64(i % 500), Tokens: 700}}})
				a.End(now, Answered)
			}
		})
	}
}

// BenchmarkChooseByObjective measures choices with objectives and pauses taken into account.
func BenchmarkChooseByObjective(b *testing.B) {
	for _, replicas := range []int{60, 160} {
		for _, missCost := range []time.Duration{0, 3 * time.Second} {
			b.Run(fmt.Sprintf("replicas=%d/miss_cost=%s", replicas, missCost), func(b *testing.B) {
				p, now := newBenchPlacer(replicas, missCost)
				for i := range b.N {
					a := p.Choose(now, "u", &Request{PromptTokens: 900, Shared: []PromptPart{{ID: uint64(i % 500), Tokens: 700}}, Objective: time.Second, MaxPause: time.Second})
					a.End(now, Answered)
				}
			})
		}
	}
}

// BenchmarkLoads measures reporting this node's loads and applying a fleet-wide sum.
func BenchmarkLoads(b *testing.B) {
	p, now := benchPlacer(3000)
	loads := p.Loads(now)
	for b.Loop() {
		p.SetFleetLoads(loads, p.Loads(now), now)
	}
}

func benchPlacer(replicas int) (*Placer, time.Time) { return newBenchPlacer(replicas, 0) }

func newBenchPlacer(replicas int, missCost time.Duration) (*Placer, time.Time) {
	set := replica.NewSet()
	listing := replica.Listing{Revision: 1}
	for i := range replicas {
		listing.Replicas = append(listing.Replicas, replica.Replica{ID: fmt.Sprintf("i-%010d", i), Upstream: "u", Slots: 32})
	}
	set.Update(listing, 1, 1)
	p := NewPlacer("z0", set, rand.New(rand.NewPCG(1, 1)))
	p.SetObjectivePlacement(missCost)
	now := time.Unix(1000, 0)
	for i := range 10 {
		p.Choose(now, "u", &Request{PromptTokens: 900, Shared: []PromptPart{{ID: uint64(i), Tokens: 700}}})
	}
	return p, now
}
