package router

import (
	"cmp"
	"slices"
	"time"
)

func (p *Pool) slack(now time.Time, class string) time.Duration {
	latest := p.queue.MinLatestStart(class)
	if latest.IsZero() {
		return 0
	}
	return latest.Sub(now)
}

// Stats returns a snapshot: classes by tier and name, replicas in the order in which they were first
// configured.
func (p *Pool) Stats(now time.Time) Stats {
	stats := p.stats
	for _, class := range p.classes {
		stats.Classes = append(stats.Classes, ClassStats{
			Name: class.Name, Tier: class.Tier,
			Waiting: class.waiting, Running: class.running,
			Slack: p.slack(now, class.Name),
		})
	}
	slices.SortFunc(stats.Classes, func(a, b ClassStats) int {
		return cmp.Or(cmp.Compare(a.Tier, b.Tier), cmp.Compare(a.Name, b.Name))
	})
	for _, r := range p.orderedReplicas {
		stats.Replicas = append(stats.Replicas, ReplicaStats{
			Name: r.Name, Running: r.running, Slots: r.Slots, Limit: r.limit(), Leaving: !r.acceptsNew(), Slowness: r.slowness,
		})
	}
	return stats
}
