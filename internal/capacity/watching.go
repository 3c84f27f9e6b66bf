package capacity

import (
	"context"
	"net/http"
	"time"

	"galenatrestle/internal/bytecount"
	"galenatrestle/internal/config"
	"galenatrestle/internal/standin/engine"
)

// Watching runs a node that owns so many engines and returns what reading their
// load reports costs. Both ends are in this process.
func Watching(_ context.Context, fleet Fleet, engines []int, d time.Duration) ([]Slope, error) {
	base := Slope{
		Role: RoleWatching, Against: "engines owned",
		Target: fleet.ReplicasPerRegion() / fleet.NodesPerRegion(),
	}
	bytes, cpu := base, base
	bytes.Quantity, bytes.Unit = "bytes in and out", "B/s"
	cpu.Quantity, cpu.Unit = "processor time, both ends", "core"
	for _, n := range engines {
		rate, core, err := watch(fleet, n, d)
		if err != nil {
			return nil, err
		}
		bytes.add(n, rate)
		cpu.add(n, core)
	}
	return fitAll(bytes, cpu)
}

// leastWatched is longer than the time between two reads of a report.
const leastWatched = 2500 * time.Millisecond

// watch serves n engines on one address and returns what one node spends on
// their reports.
func watch(fleet Fleet, n int, d time.Duration) (rate, core float64, err error) {
	defer fewCores()()
	listener, err := bytecount.Listen()
	if err != nil {
		return 0, 0, err
	}
	engines := &http.Server{Handler: engine.New(engine.Options{Name: "engine", Model: modelName(0), Slots: slotsPerReplica})}
	go func() { _ = engines.Serve(listener) }()
	defer engines.Close()
	owner, err := newNode()
	if err != nil {
		return 0, 0, err
	}
	defer owner.Close()
	owner.Configure(config.NewIndex(1, enginesAt(fleet, n, listener.Addr().String())))
	owner.Start()
	time.Sleep(d)
	d = max(d, leastWatched)
	before := listener.Bytes.Load()
	used := cpuOf(func() { time.Sleep(d) })
	return float64(listener.Bytes.Load()-before) / d.Seconds(), used.Seconds() / d.Seconds(), nil
}

// enginesAt returns a document whose replicas all have the one address.
func enginesAt(fleet Fleet, n int, address string) *config.Document {
	d := document(fleet, 1, n)
	for i := range d.Upstreams {
		for j := range d.Upstreams[i].Replicas {
			d.Upstreams[i].Replicas[j].Address = address
		}
	}
	return d
}
