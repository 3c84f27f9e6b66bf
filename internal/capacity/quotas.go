package capacity

import (
	"galenatrestle/internal/config"
	"galenatrestle/internal/quota"
)

// Quotas measures a node's quotas by the workspaces.
func Quotas(fleet Fleet, workspaces []int) ([]Slope, error) {
	base := Slope{Role: RoleQuotas, Against: "workspaces", Target: float64(fleet.Workspaces)}
	memory, cpu := base, base
	memory.Quantity, memory.Unit = "heap", "B"
	cpu.Quantity, cpu.Unit = "processor time of new quotas", "s"
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
	}
	return fitAll(memory, cpu)
}
