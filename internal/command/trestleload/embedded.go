package trestleload

import (
	"fmt"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/embedded"
	"galenatrestle/internal/load"
	"galenatrestle/internal/standin/engine"
)

// embeddedDeployment sizes a deployment that runs inside the tool, so that a
// comparison needs nothing else.
type embeddedDeployment struct {
	Nodes    int `help:"Run against this many nodes inside the tool, in place of --entry."`
	Engines  int `default:"20" help:"Engine replicas of the embedded deployment."`
	Services int `default:"3" help:"Plain-service replicas of the embedded deployment."`
	Slots    int `default:"8" help:"Slots of each engine."`
	// ShareSlots switches credits on.
	ShareSlots bool `default:"true" negatable:"" help:"Have the embedded nodes share the engines' slots by credits."`
	// Quota bounds workspaces' requests a second.
	Quota map[string]float64 `help:"Quota of a workspace's requests a second, as NAME=RATE."`
	Speed float64            `default:"1" help:"Divide the engines' times by this."`
}

// check returns an error that names a size that makes no sense.
func (d *embeddedDeployment) check() error {
	if d.Nodes < 0 || d.Engines < 1 || d.Services < 1 || d.Slots < 1 {
		return fmt.Errorf("--embedded-nodes %d, --embedded-engines %d, --embedded-services %d, --embedded-slots %d: want positive sizes",
			d.Nodes, d.Engines, d.Services, d.Slots)
	}
	for name, rate := range d.Quota {
		if rate <= 0 {
			return fmt.Errorf("--embedded-quota %s: value %v is not above zero", name, rate)
		}
	}
	if d.Speed <= 0 {
		return fmt.Errorf("--embedded-speed: value %v is not above zero", d.Speed)
	}
	return nil
}

// quotas are the workspaces' quotas.
func (d *embeddedDeployment) quotas() map[string]config.Quota {
	quotas := make(map[string]config.Quota, len(d.Quota))
	for name, rate := range d.Quota {
		quotas[name] = config.Quota{RequestsPerSecond: rate, Burst: config.DefaultBurst}
	}
	return quotas
}

// capacity is the tokens a second of all engines with full slots.
func (d *embeddedDeployment) capacity() float64 {
	slots := float64(d.Engines * d.Slots)
	return slots * d.Speed / engine.DefaultTokenInterval.Seconds()
}

// ideal describes the engines to the clairvoyant order.
func (d *embeddedDeployment) ideal() load.Ideal {
	scaled := func(t time.Duration) time.Duration { return time.Duration(float64(t) / d.Speed) }
	return load.Ideal{
		Slots:           d.Engines * d.Slots,
		TokenInterval:   scaled(engine.DefaultTokenInterval),
		PrefillPerToken: scaled(engine.DefaultPrefillPerToken),
	}
}

// embeddedStopTimeout bounds the graceful stop of the embedded deployment.
const embeddedStopTimeout = 10 * time.Second

// startEmbedded starts the embedded deployment, if one is asked for, and points
// the target and the workload at it. The returned function stops it.
func (t *target) startEmbedded(w *load.Workload) (stop func(), err error) {
	size := t.Embedded
	if err := size.check(); err != nil {
		return nil, err
	}
	if size.Nodes == 0 {
		return func() {}, nil
	}
	options := embedded.Options{
		OwnSlots: !size.ShareSlots,
		Quotas:   size.quotas(),
		Nodes:    size.Nodes, Engines: size.Engines, Services: size.Services,
		Engine: engine.Options{Slots: size.Slots, Speed: size.Speed},
		Seed:   max(1, w.EngineSeed),
	}
	w.EngineSeed = options.Seed
	deployment, err := embedded.Start(options)
	if err != nil {
		return nil, err
	}
	t.Entry = nil
	for _, n := range deployment.Nodes {
		t.Entry = append(t.Entry, n.EntryAddress())
	}
	t.Runs = []string{"http://" + deployment.Nodes[0].OpsAddress()}
	return func() {
		// What was measured stands, also where the stop takes too long.
		_ = deployment.Stop(embeddedStopTimeout)
	}, nil
}
