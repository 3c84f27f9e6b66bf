package node

import (
	"time"

	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/budget"
)

// configBudget is what the configuration may take of the platform: a poll or a
// watch now and then, and a few dozen calls for an acceptance.
var configBudget = budget.Config{
	Duty: "configuration", PerSecond: 40, Burst: 120, MaxWait: 2 * time.Second,
}

// dutyStore returns the platform's store within a duty's budget.
func (n *Node) dutyStore(duty budget.Config) platform.Store {
	return budget.New(n.options.Store, duty, n.duties)
}

// newDutyCounters returns the counters that all duties share. Like the other
// parts' counters they must not be on the registry yet.
func newDutyCounters(options Options) *budget.Counters {
	counters, err := budget.NewCounters(options.Registry)
	if err != nil {
		panic(err)
	}
	return counters
}
