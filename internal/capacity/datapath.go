package capacity

import (
	"context"
	"fmt"

	"galenatrestle/internal/pathcost"
)

// DataPath measures what the callers' path through a node adds to a request, by
// the length of its answer.
func DataPath(ctx context.Context, fleet Fleet, tokens []int, load pathcost.Options) ([]Slope, error) {
	base := Slope{Role: RoleDataPath, Against: "tokens of one answer", Target: fleet.TokensPerRequest()}
	cpu, allocated, p99 := base, base, base
	cpu.Quantity, cpu.Unit = "processor time added to a request", "s"
	allocated.Quantity, allocated.Unit = "bytes allocated for a request", "B"
	p99.Quantity, p99.Unit = "first token added at p99", "s"
	for _, n := range tokens {
		load.Tokens = n
		report, err := pathcost.Run(ctx, load)
		if err != nil {
			return nil, err
		}
		if failed := report.Through.Failed + report.Direct.Failed; failed > 0 {
			return nil, fmt.Errorf("capacity: %d requests of the data path failed", failed)
		}
		requests := float64(report.Through.Requests)
		cpu.add(n, (report.Through.CPU-report.Direct.CPU).Seconds()/requests)
		allocated.add(n, (float64(report.Through.AllocatedBytes)-float64(report.Direct.AllocatedBytes))/requests)
		p99.add(n, report.AddedFirstP99().Seconds())
	}
	return fitAll(cpu, allocated, p99)
}
