package soak

import (
	"time"

	"galenatrestle/platform/platformtest"
)

// BrittleLoad is a run in which the replicas of the plain service are brittle while calls arrive at
// a steady rate.
type BrittleLoad struct {
	Seed uint64
	// Command starts the program under test, Dir takes settings and logs.
	Command []string
	Dir     string
	// Nodes, Replicas and Slots are the numbers of nodes, of replicas and of the slots of each.
	Nodes, Replicas, Slots int
	// Load is the calls that arrive, as a part of those that the slots have room for.
	Load float64
	// Counted is how long falls and calls are counted.
	Counted time.Duration
	// Streams offers streams of the model in place of plain calls.
	Streams bool
	// NodeFaults has nodes be killed, stopped and paused meanwhile.
	NodeFaults bool
}

const (
	// brittleLoadAfter is the time after which replicas become brittle. Nodes that have just started do
	// not know each other.
	brittleLoadAfter = 5 * time.Second
	// loadAfter bounds the load after the brittle time, so that all calls can be served.
	loadAfter = 0.55
	// brittleLoadWork is how long a replica runs a call.
	brittleLoadWork = 150 * time.Millisecond
	// brittleLoadEventEvery is the time between two events of a stream, and brittleLoadStream that of
	// a whole stream on average.
	brittleLoadEventEvery = 40 * time.Millisecond
	brittleLoadStream     = brittleLoadEventEvery * (platformtest.MinEvents + platformtest.MaxEvents) / 2
	// brittleLoadQueue is the number of calls that wait at a sound replica, brittleLoadBrittleQueue that
	// at a brittle one.
	brittleLoadQueue        = 8
	brittleLoadBrittleQueue = 1
	// brittleLoadRestart is how long a replica that fell over is away.
	brittleLoadRestart = 4 * time.Second
)

// Options returns the options of the run.
func (b *BrittleLoad) Options() Options {
	lasts := brittleStable + b.Counted
	work := brittleLoadWork
	if b.Streams {
		work = brittleLoadStream
	}
	room := float64(b.Replicas*b.Slots) / work.Seconds()
	o := Options{
		Seed: b.Seed, Command: b.Command, Dir: b.Dir, Nodes: b.Nodes, Length: brittleLoadAfter + lasts, WithoutFaults: true,
		LedgerReplicas: b.Replicas, WorkTime: work, Slots: b.Slots, Queue: brittleLoadQueue, BrittleQueue: brittleLoadBrittleQueue,
		Restart: brittleLoadRestart, Arrivals: b.Load * room, LaterArrivals: min(b.Load, loadAfter) * room, path: "/parts/",
		extra: []event{{at: brittleLoadAfter, kind: replicasBrittle, target: 1, lasts: lasts}},
	}
	if b.Streams {
		o.LedgerReplicas, o.ModelReplicas, o.EventEvery, o.path, o.extra[0].target = 0, b.Replicas, brittleLoadEventEvery, platformtest.StreamPath, 0
	}
	if b.NodeFaults {
		o.extra = append(o.extra, b.nodeFaults()...)
	}
	return o
}

// nodeFaultEvery is the time between two faults of nodes.
const nodeFaultEvery = 1500 * time.Millisecond

// nodeFaults returns faults of one node after the other, from the time on in which falls are counted.
func (b *BrittleLoad) nodeFaults() []event {
	kinds := []kind{killNode, stopNode, pauseNode}
	var events []event
	for at := time.Duration(0); at < b.Counted; at += nodeFaultEvery {
		// The step reaches nodes of all parts of the fleet.
		target := 3 + 5*len(events)
		events = append(events, event{at: brittleLoadAfter + brittleStable + at, kind: kinds[len(events)%len(kinds)], target: target, lasts: time.Second})
	}
	return events
}
