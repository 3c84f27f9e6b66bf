package ratelimit

import (
	"testing"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/replica"
)

// brittleResponse is a successful response that says that its replica is brittle.
func brittleResponse(r replica.Replica, refusalsPerSecond float64, sent, received int) Observation {
	return Observation{Replica: r, Brittle: Brittleness{Brittle: true, RefusalsPerSecond: refusalsPerSecond}, Succeeded: true, SentAt: at(sent), ReceivedAt: at(received)}
}

var brittleOne = replica.Replica{ID: "i-1", StartedAt: 7, Upstream: "u"}

func (t *Table) isBrittle(r replica.Replica) bool {
	l, limited := t.Current().Of(&r)
	return limited && l.Brittle.Brittle
}

func TestReplicaThatSaysNothingAnyMoreIsNotBrittle(t *testing.T) {
	table := newTable()
	if _, changed := table.Observe(brittleResponse(brittleOne, 3, 0, 10)); !changed || !table.isBrittle(brittleOne) {
		t.Fatal("the replica is not brittle")
	}
	if _, changed := table.Observe(brittleResponse(brittleOne, 3, 11, 20)); changed {
		t.Error("the same notice was reported as a change")
	}
	sound := brittleResponse(brittleOne, 0, 15, 30)
	sound.Brittle = Brittleness{}
	if _, changed := table.Observe(sound); changed || !table.isBrittle(brittleOne) {
		t.Error("lifted by the response to a request sent before the replica last said so")
	}
	sound.SentAt, sound.ReceivedAt = at(25), at(40)
	if _, changed := table.Observe(sound); !changed || table.isBrittle(brittleOne) {
		t.Error("the replica is still brittle after a later response that does not say so")
	}
}

// A replica that was back after it had ended was taken for sound by each node until its first response,
// and the requests that came at once ended it again.
func TestRestartedReplicaIsPresumedBrittle(t *testing.T) {
	restarted := replica.Replica{ID: "i-2", StartedAt: 9, Upstream: "u"}
	now := at(20)
	table := NewTable(func() boottime.Instant { return now })
	table.Observe(brittleResponse(brittleOne, 3, 0, 10))
	table.Forget(brittleOne.ID)
	if !table.isBrittle(restarted) {
		t.Error("a replica that nothing is known of is taken for sound, though the one before was brittle")
	}
	if table.isBrittle(replica.Replica{ID: "i-3", Upstream: "other"}) {
		t.Error("a replica of another upstream is presumed brittle")
	}
	now = at(10).Add(presumptionTTL)
	if table.isBrittle(restarted) {
		t.Error("presumed brittle long after any replica said so")
	}
	now = at(30)
	failed := Observation{Replica: restarted, SentAt: at(25), ReceivedAt: at(30)}
	table.Observe(failed)
	if !table.isBrittle(restarted) {
		t.Error("a failure ended the presumption")
	}
	failed.Succeeded = true
	table.Observe(failed)
	if table.isBrittle(restarted) {
		t.Error("presumed brittle after a response that does not say so")
	}
	if table.isBrittle(replica.Replica{ID: "i-4", Upstream: "u"}) {
		t.Error("presumed brittle after a newer response of another replica does not say so")
	}
}

// Rates are those of one process.
func TestRestartedReplicaIsNotPresumedRateLimited(t *testing.T) {
	table := newTable()
	rated := brittleResponse(brittleOne, 3, 0, 10)
	rated.Limited, rated.PerSecond = true, 2
	table.Observe(rated)
	if l, limited := table.Current().Of(&replica.Replica{ID: "i-2", Upstream: "u"}); !limited || !l.Lifted || !l.Brittle.Brittle {
		t.Errorf("limit %+v, want only that it is brittle", l)
	}
}

// Each node learned by its own responses only that a replica is brittle.
func TestNodesTellEachOtherOfBrittleReplicas(t *testing.T) {
	told, restarted := newTable(), newTable()
	teller := newTable()
	teller.Observe(brittleResponse(brittleOne, 3, 0, 10))
	messages := ToProto(teller.ForPeers(), at(20))
	if changed := told.Merge(FromProto(messages, at(20)), anyProcess); len(changed) != 1 || !told.isBrittle(brittleOne) {
		t.Errorf("after the news: changed %v", changed)
	}
	restarted.Merge(FromProto(messages, at(20)), func(string, int64) bool { return false })
	if len(restarted.InForce()) != 0 {
		t.Error("the limit of a replica that is not registered is kept")
	}
	if !restarted.isBrittle(replica.Replica{ID: "i-2", Upstream: "u"}) {
		t.Error("a node that has just started takes the successor of a brittle replica for sound")
	}
}
