package ratelimit

import (
	"testing"

	"connectrpc.com/connect"
	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	ratelimitv1 "galenatrestle/internal/gen/trestle/ratelimit/v1"
)

// newTestExchange returns the exchange of node vm-1, which considers the given node the
// issuer.
func newTestExchange(issuer string, table *Table, registered bool) *Exchange {
	return NewExchange(Options{
		Table: table, Issuer: NewIssuer(), Slots: NewSlotIssuer(), Self: "vm-1",
		IssuerOf: func(string) (string, string) { return issuer, "" },
		Share:    func() float64 { return 1 }, IsRegistered: func(string, int64) bool { return registered },
		Registry: prometheus.NewRegistry(),
	})
}

func anyProcess(string, int64) bool { return true }

// limitAt returns a high limit observed ms milliseconds after the start.
func limitAt(ms int, lifted bool) Limit {
	return Limit{Replica: "i-1", PerSecond: 1e6, Lifted: lifted, ObservedAt: at(ms)}
}

// acquireTwice reports whether one of two permit requests is granted. Two are needed, since
// a new issuer's bucket starts empty.
func acquireTwice(t *testing.T, e *Exchange, l Limit) bool {
	t.Helper()
	request := connect.NewRequest(&ratelimitv1.AcquireRequest{Limit: limitToProto(l, e.options.Table.Now())})
	granted := false
	for range 2 {
		response, err := e.Acquire(t.Context(), request)
		if err != nil {
			t.Fatal(err)
		}
		granted = granted || response.Msg.GetGiven()
		if !response.Msg.GetGiven() && response.Msg.GetRetryAfter() < 0 {
			t.Errorf("retry_after is negative: %d", response.Msg.GetRetryAfter())
		}
	}
	return granted
}

func TestOnlyTheIssuerOfARegisteredReplicaGrantsPermits(t *testing.T) {
	table := func() *Table { return NewTable(func() boottime.Instant { return at(100) }) }
	if !acquireTwice(t, newTestExchange("vm-1", table(), true), limitAt(50, false)) {
		t.Error("the issuer granted no permit under the limit in the request")
	}
	if acquireTwice(t, newTestExchange("vm-2", table(), true), limitAt(50, false)) {
		t.Error("a node that considers another node the issuer granted a permit")
	}
	if acquireTwice(t, newTestExchange("vm-1", table(), false), limitAt(50, false)) {
		t.Error("a permit was granted for an unregistered replica")
	}
	lifted := table()
	lifted.Merge([]Limit{limitAt(60, true)}, anyProcess)
	if acquireTwice(t, newTestExchange("vm-1", lifted, true), limitAt(50, false)) {
		t.Error("a permit was granted under a limit lifted since")
	}
}

// A report that reached another node than the issuer counted as delivered, and its slots stayed in use.
func TestOnlyTheIssuerTakesReports(t *testing.T) {
	for issuer, taken := range map[string]bool{"vm-1": true, "vm-2": false} {
		e := newTestExchange(issuer, newTable(), true)
		_, err := e.Report(t.Context(), connect.NewRequest(reportToProto(&SlotReport{Replica: "i-1", Node: "vm-3", Held: []uint64{1}})))
		if (err == nil) != taken || len(e.options.Slots.books) > 0 != taken {
			t.Errorf("issuer %s: error %v, %d replicas known", issuer, err, len(e.options.Slots.books))
		}
	}
}

func TestRequestPermitIssuesLocallyOnTheIssuer(t *testing.T) {
	e := newTestExchange("vm-1", NewTable(func() boottime.Instant { return at(100) }), true)
	granted := false
	for range 2 {
		grant, err := e.RequestPermit(t.Context(), Ask{Limit: limitAt(50, false)})
		if err != nil {
			t.Fatal(err)
		}
		granted = granted || grant.Granted
	}
	if !granted {
		t.Error("no permit was granted")
	}
}
