package capacity

import (
	"time"

	"galenatrestle/internal/claim"
)

// Options size the measurements.
type Options struct {
	Fleet Fleet
	// Nodes are the sizes of a region.
	Nodes []int
	// Regions, Workspaces, Replicas, Claims, ClaimRates, Tokens, Records,
	// Leases, Contenders, Bytes, Requests, VMs and Engines are the sizes of what
	// their names say.
	Regions    []int
	Workspaces []int
	Replicas   []int
	Claims     []int
	ClaimRates []int
	Tokens     []int
	Records    []int
	Leases     []int
	Contenders []int
	Bytes      []int
	Requests   []int
	VMs        []int
	Engines    []int
	// Only names the steps to run; empty means all.
	Only []string
	// Segments of a claim ledger's shard, and AnswerBytes recorded in it, are
	// those of a ledger that is filled.
	Segments    int
	AnswerBytes []int
	// PathRate is the requests a second of the data path, PathInterval the
	// engines' time between tokens.
	PathRate     float64
	PathInterval time.Duration
	// Duration of each measurement that runs in real time.
	Duration time.Duration
}

// DefaultOptions returns the sizes of the page; all together take about nine
// minutes and stay under 1 GB.
func DefaultOptions() Options {
	return Options{
		Fleet:        Target(),
		Nodes:        []int{2, 4, 8, 16, 32, 60},
		Regions:      []int{2, 3, 4, 6},
		Workspaces:   []int{1000, 2000, 5000, 11000},
		Replicas:     []int{8, 16, 44, 128, 262},
		Claims:       []int{1000, 2000, 4000, 8000},
		ClaimRates:   []int{10, 20, 40, 60, 80},
		Segments:     claim.DefaultSegments,
		AnswerBytes:  []int{0, 100, 200},
		Tokens:       []int{16, 64, 160, 455},
		Records:      []int{64, 256, 1024, 4096},
		Leases:       []int{1, 4, 16},
		Contenders:   []int{30, 60, 120},
		Bytes:        []int{64, 1 << 10, 4 << 10, 16 << 10},
		Requests:     []int{100, 300, 900},
		VMs:          []int{100, 500, 1000, 2460},
		Engines:      []int{2, 6, 12, 35},
		PathRate:     50,
		PathInterval: 10 * time.Millisecond,
		Duration:     5 * time.Second,
	}
}
