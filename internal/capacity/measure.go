package capacity

import (
	"context"
	"fmt"
	"slices"
	"time"

	"galenatrestle/internal/pathcost"
)

// step is one measurement of Measure.
type step struct {
	name string
	run  func(ctx context.Context, o Options) ([]Slope, error)
}

// handoverSpan is how many durations the hand-over's idle reads take.
const handoverSpan = 12

// steps are run one after the other, so that they share no processor.
var steps = []step{
	{"data path", func(ctx context.Context, o Options) ([]Slope, error) {
		return DataPath(ctx, o.Fleet, o.Tokens, pathcost.Options{Rate: o.PathRate, TokenInterval: o.PathInterval, Duration: o.Duration})
	}},
	{"decisions", func(_ context.Context, o Options) ([]Slope, error) { return Decisions(o.Fleet, o.Replicas) }},
	{"waiting requests", func(_ context.Context, o Options) ([]Slope, error) { return Waiting(o.Fleet, o.Requests) }},
	{"estimates", func(_ context.Context, o Options) ([]Slope, error) { return Estimates(o.Fleet, o.Requests) }},
	{"membership", func(_ context.Context, o Options) ([]Slope, error) { return Membership(o.Fleet, o.Nodes) }},
	{"regions", func(_ context.Context, o Options) ([]Slope, error) { return Regions(o.Fleet, o.Regions) }},
	{"configuration", func(_ context.Context, o Options) ([]Slope, error) { return Configuration(o.Fleet, o.Workspaces) }},
	{"configuration spread", func(ctx context.Context, o Options) ([]Slope, error) {
		return Spread(ctx, o.Fleet, o.Nodes, o.Duration)
	}},
	{"claims", func(ctx context.Context, o Options) ([]Slope, error) { return Claims(ctx, o.Fleet, o.Claims) }},
	{"claim writes", func(ctx context.Context, o Options) ([]Slope, error) {
		return ClaimWrites(ctx, o.Fleet, o.ClaimRates, o.Duration)
	}},
	{"full ledger", func(ctx context.Context, o Options) ([]Slope, error) {
		return FullLedger(ctx, o.Segments, o.AnswerBytes)
	}},
	{"leases", func(ctx context.Context, o Options) ([]Slope, error) {
		return Leases(ctx, o.Fleet, o.Leases, o.Contenders, o.Duration)
	}},
	{"answers", func(_ context.Context, o Options) ([]Slope, error) { return Answers(o.Fleet, o.Tokens) }},
	{"entries", func(_ context.Context, o Options) ([]Slope, error) { return Entries(o.Fleet, o.Nodes) }},
	{"quarantine", func(ctx context.Context, o Options) ([]Slope, error) { return Quarantine(ctx, o.Fleet, o.Records) }},
	{"credits", func(ctx context.Context, o Options) ([]Slope, error) {
		return Credits(ctx, o.Fleet, o.Nodes, o.Duration)
	}},
	{"load reports", func(ctx context.Context, o Options) ([]Slope, error) {
		return Watching(ctx, o.Fleet, o.Engines, o.Duration)
	}},
	{"quotas", func(_ context.Context, o Options) ([]Slope, error) { return Quotas(o.Fleet, o.Workspaces) }},
	{"leaving", func(_ context.Context, o Options) ([]Slope, error) { return Leaving(o.Fleet, o.Replicas) }},
	{"hand-over", func(ctx context.Context, o Options) ([]Slope, error) {
		return Handover(ctx, o.Fleet, o.Nodes, handoverSpan*o.Duration)
	}},
	{"list of VMs", func(ctx context.Context, o Options) ([]Slope, error) {
		return Instances(ctx, o.Fleet, o.VMs)
	}},
	{"link between nodes", func(ctx context.Context, o Options) ([]Slope, error) { return PeerLink(ctx, o.Fleet, o.Bytes) }},
	{"link to the platform", func(ctx context.Context, o Options) ([]Slope, error) {
		return PlatformLink(ctx, o.Fleet, o.Bytes)
	}},
	{"whole node", func(_ context.Context, o Options) ([]Slope, error) { return Node(o.Fleet, o.Workspaces, o.Replicas) }},
}

// Measure runs all measurements, telling progress after each.
func Measure(ctx context.Context, o Options, progress func(string)) ([]Slope, error) {
	var all []Slope
	for _, s := range steps {
		if len(o.Only) > 0 && !slices.Contains(o.Only, s.name) {
			continue
		}
		begun := time.Now()
		slopes, err := s.run(ctx, o)
		if err != nil {
			return all, fmt.Errorf("capacity: measure %s: %w", s.name, err)
		}
		if err := ctx.Err(); err != nil {
			return all, err
		}
		progress(fmt.Sprintf("%s: %s", s.name, time.Since(begun).Round(time.Millisecond)))
		all = append(all, slopes...)
	}
	return all, nil
}
