package ratelimit

import (
	"testing"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// at is so many milliseconds after the start of a test.
func at(ms int) boottime.Instant { return boottime.Instant(ms+1) * boottime.Instant(time.Millisecond) }

func newTable() *Table { return NewTable(func() boottime.Instant { return at(0) }) }

// named is an answer that names a rate.
func named(perSecond float64, sent, came int) Observation {
	return Observation{Replica: replica.Replica{ID: "i-1", StartedAt: 7}, Limited: true, PerSecond: perSecond, Succeeded: true, SentAt: at(sent), ReceivedAt: at(came)}
}

// unnamed is a whole answer without a rate.
func unnamed(sent, came int) Observation {
	return Observation{Replica: replica.Replica{ID: "i-1", StartedAt: 7}, Succeeded: true, SentAt: at(sent), ReceivedAt: at(came)}
}

func TestALimitHoldsUntilAnAnswerToALaterRequestNamesNone(t *testing.T) {
	table := newTable()
	if _, changed := table.Observe(unnamed(0, 5)); changed || len(table.InForce()) != 0 {
		t.Fatal("an answer that names no rate is news")
	}
	if l, changed := table.Observe(named(1.5, 5, 10)); !changed || l.PerSecond != 1.5 || table.InForce()["i-1"] != l {
		t.Fatalf("changed %v, limits %v", changed, table.InForce())
	}
	if _, changed := table.Observe(named(1.5, 11, 20)); changed {
		t.Error("the same rate again is news")
	}
	if _, changed := table.Observe(unnamed(19, 30)); changed || len(table.InForce()) != 1 {
		t.Error("lifted by the answer to a request that was sent before the limit was last named")
	}
	failed := unnamed(25, 31)
	failed.Succeeded = false
	if _, changed := table.Observe(failed); changed {
		t.Error("lifted by a failure")
	}
	if l, changed := table.Observe(unnamed(25, 40)); !changed || !l.Lifted || len(table.InForce()) != 0 {
		t.Errorf("changed %v, limits %v", changed, table.InForce())
	}
}

func TestTheNewestRateCounts(t *testing.T) {
	table := newTable()
	table.Observe(named(4, 0, 20))
	table.Observe(named(9, 0, 10))
	if got := table.InForce()["i-1"].PerSecond; got != 4 {
		t.Errorf("%g requests a second after an older answer", got)
	}
	table.Observe(named(2, 21, 30))
	if got := table.InForce()["i-1"].PerSecond; got != 2 {
		t.Errorf("%g requests a second after a newer answer", got)
	}
}

func TestAReplicaThatIsGoneHasNoLimit(t *testing.T) {
	table := newTable()
	table.Observe(named(4, 0, 20))
	table.Forget("i-2")
	table.Forget("i-1")
	if len(table.InForce()) != 0 {
		t.Errorf("limits %v", table.InForce())
	}
}
