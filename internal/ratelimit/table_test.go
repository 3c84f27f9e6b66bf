package ratelimit

import (
	"testing"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// at returns the instant ms milliseconds after the start of a test.
func at(ms int) boottime.Instant { return boottime.Instant(ms+1) * boottime.Instant(time.Millisecond) }

func newTable() *Table { return NewTable(func() boottime.Instant { return at(0) }) }

// limitedResponse is a successful response that announces a rate.
func limitedResponse(perSecond float64, sent, received int) Observation {
	return Observation{Replica: replica.Replica{ID: "i-1", StartedAt: 7}, Limited: true, PerSecond: perSecond, Succeeded: true, SentAt: at(sent), ReceivedAt: at(received)}
}

// unlimitedResponse is a successful response without a rate.
func unlimitedResponse(sent, received int) Observation {
	return Observation{Replica: replica.Replica{ID: "i-1", StartedAt: 7}, Succeeded: true, SentAt: at(sent), ReceivedAt: at(received)}
}

func TestLimitIsLiftedByAResponseToALaterRequest(t *testing.T) {
	table := newTable()
	if _, changed := table.Observe(unlimitedResponse(0, 5)); changed || len(table.InForce()) != 0 {
		t.Fatal("a response without a rate changed the table")
	}
	if l, changed := table.Observe(limitedResponse(1.5, 5, 10)); !changed || l.PerSecond != 1.5 || table.InForce()["i-1"] != l {
		t.Fatalf("after a response with a rate: changed %v, limits %v", changed, table.InForce())
	}
	if _, changed := table.Observe(limitedResponse(1.5, 11, 20)); changed {
		t.Error("the same rate was reported as a change")
	}
	if _, changed := table.Observe(unlimitedResponse(19, 30)); changed || len(table.InForce()) != 1 {
		t.Error("lifted by the response to a request sent before the limit was last announced")
	}
	failed := unlimitedResponse(25, 31)
	failed.Succeeded = false
	if _, changed := table.Observe(failed); changed {
		t.Error("lifted by a failed response")
	}
	if l, changed := table.Observe(unlimitedResponse(25, 40)); !changed || !l.Lifted || len(table.InForce()) != 0 {
		t.Errorf("after a later response without a rate: changed %v, limits %v", changed, table.InForce())
	}
}

func TestNewestRateApplies(t *testing.T) {
	table := newTable()
	table.Observe(limitedResponse(4, 0, 20))
	table.Observe(limitedResponse(9, 0, 10))
	if got := table.InForce()["i-1"].PerSecond; got != 4 {
		t.Errorf("%g requests per second after an older response", got)
	}
	table.Observe(limitedResponse(2, 21, 30))
	if got := table.InForce()["i-1"].PerSecond; got != 2 {
		t.Errorf("%g requests per second after a newer response", got)
	}
}

func TestForgetRemovesTheLimit(t *testing.T) {
	table := newTable()
	table.Observe(limitedResponse(4, 0, 20))
	table.Forget("i-2")
	table.Forget("i-1")
	if len(table.InForce()) != 0 {
		t.Errorf("limits %v after Forget", table.InForce())
	}
}
