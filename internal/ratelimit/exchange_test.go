package ratelimit

import (
	"testing"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
)

// exchange is the node vm-1, where the other node issues or not.
func exchange(issuer string, table *Table, known bool) *Exchange {
	return NewExchange(Options{
		Table: table, Issuer: NewIssuer(), Self: "vm-1",
		IssuerOf: func(string) (string, string) { return issuer, "" },
		Share:    func() float64 { return 1 }, IsRegistered: func(string, int64) bool { return known },
		Registry: prometheus.NewRegistry(),
	})
}

// limitAt is a high rate, named so long after the start.
func limitAt(ms int, lifted bool) Limit {
	return Limit{Replica: "i-1", PerSecond: 1e6, Lifted: lifted, ObservedAt: at(ms)}
}

// acquire asks twice, since a new issuer has nothing to give at first.
func acquire(t *testing.T, e *Exchange, l Limit) bool {
	t.Helper()
	request := connect.NewRequest(&ratelimitv1.AcquireRequest{Limit: limitToProto(l, e.options.Table.Now())})
	given := false
	for range 2 {
		response, err := e.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		given = given || response.Msg.GetGiven()
		if !response.Msg.GetGiven() && response.Msg.GetRetryAfter() < 0 {
			t.Errorf("retry after %d", response.Msg.GetRetryAfter())
		}
	}
	return given
}

func TestOnlyTheIssuerOfARegisteredReplicaGivesPermits(t *testing.T) {
	table := func() *Table { return NewTable(func() boottime.Instant { return at(100) }) }
	if !acquire(t, exchange("vm-1", table(), true), limitAt(50, false)) {
		t.Error("the issuer gives none under a limit that it is told with the ask")
	}
	if acquire(t, exchange("vm-2", table(), true), limitAt(50, false)) {
		t.Error("a node that takes another one for the issuer gives permits, too")
	}
	if acquire(t, exchange("vm-1", table(), false), limitAt(50, false)) {
		t.Error("permits of a replica that is not registered")
	}
	lifted := table()
	lifted.Merge([]Limit{limitAt(60, true)})
	if acquire(t, exchange("vm-1", lifted, true), limitAt(50, false)) {
		t.Error("permits under a limit that was lifted since")
	}
}

func TestThisNodesOwnAsksAreAnsweredHere(t *testing.T) {
	e := exchange("vm-1", NewTable(func() boottime.Instant { return at(100) }), true)
	given := false
	for range 2 {
		grant, err := e.RequestPermit(t.Context(), limitAt(50, false))
		if err != nil {
			t.Fatal(err)
		}
		given = given || grant.Granted
	}
	if !given {
		t.Error("no permit")
	}
}
