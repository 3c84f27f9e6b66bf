package capacity

import (
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/quota"
)

// sharedSeconds is the seconds for one figure.
const sharedSeconds = 20

// shareFor does what a node does each second to share its quotas.
func shareFor(limiter *quota.Limiter, seconds int) {
	for i := range seconds {
		now := start.Add(time.Duration(i) * time.Second)
		limiter.Demands(now)
		limiter.SetShares(now, 1, nil)
	}
}

// Quotas measures a node's quotas by the workspaces.
func Quotas(fleet Fleet, workspaces []int) ([]Slope, error) {
	base := Slope{Role: RoleQuotas, Against: "workspaces", Target: float64(fleet.Workspaces)}
	memory, cpu, second := base, base, base
	memory.Quantity, memory.Unit = "heap", "B"
	cpu.Quantity, cpu.Unit = "processor time of new quotas", "s"
	second.Quantity, second.Unit = "processor time of a second's demands and shares", "core"
	for _, n := range workspaces {
		quotas := make(map[string]config.Quota, n)
		for i := range n {
			w := workspace(i)
			quotas[w.Name] = w.Quota
		}
		var limiter *quota.Limiter
		memory.add(n, heapOf(func() *quota.Limiter {
			limiter = quota.NewLimiter()
			limiter.SetQuotas(start, quotas, 1)
			return limiter
		}))
		cpu.add(n, cpuOf(func() { limiter.SetQuotas(start, quotas, 1) }).Seconds())
		second.add(n, cpuOf(func() { shareFor(limiter, sharedSeconds) }).Seconds()/sharedSeconds)
	}
	return fitAll(memory, cpu, second)
}
