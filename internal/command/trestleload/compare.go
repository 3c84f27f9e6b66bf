package trestleload

import (
	"encoding/json"
	"fmt"
	"os"
	"slices"

	"github.com/google/uuid"

	"galenatrestle/internal/load"
)

// compareCommand runs workloads with several settings one after the other.
type compareCommand struct {
	Workloads []string  `arg:"" type:"existingfile" help:"Workload files (YAML)."`
	Settings  []string  `default:"own,credits" enum:"own,credits,one-node" help:"Settings to compare, the first is what the others are measured against: ${enum}."`
	Loads     []float64 `help:"Parts of the deployment's tokens a second to ask for, one after the other; without it the workloads' own rates."`
	Seeds     []uint64  `help:"Seeds of the arrivals, in place of the workload's: one run of each setting for each."`
	target
}

// changes are the settings by name.
var changes = map[string]func(*embeddedDeployment){
	"own":      func(d *embeddedDeployment) { d.ShareSlots = false },
	"credits":  func(d *embeddedDeployment) { d.ShareSlots = true },
	"one-node": func(d *embeddedDeployment) { d.Nodes, d.ShareSlots = 1, true },
}

// Run fails where a promise was broken in one of the runs.
func (c *compareCommand) Run() error {
	if c.Embedded.Nodes == 0 {
		return fmt.Errorf("--embedded-nodes: value 0: a comparison starts a deployment of its own for each run")
	}
	var list comparison
	for _, path := range c.Workloads {
		if err := c.workload(path, &list); err != nil {
			return err
		}
	}
	if err := c.print(&list); err != nil {
		return err
	}
	if broken := list.violations(); broken > 0 {
		return fmt.Errorf("%d promises broken", broken)
	}
	return nil
}

func (c *compareCommand) workload(path string, list *comparison) error {
	loads := c.Loads
	if len(loads) == 0 {
		loads = []float64{0}
	}
	for _, part := range loads {
		for round := range max(1, len(c.Seeds)) {
			if err := c.round(path, part, round, list); err != nil {
				return err
			}
		}
	}
	return nil
}

// round runs each setting once, in an order that is reversed each time: what
// else the machine does then falls on all alike.
func (c *compareCommand) round(path string, part float64, round int, list *comparison) error {
	order := slices.Clone(c.Settings)
	if round%2 == 1 {
		slices.Reverse(order)
	}
	for _, setting := range order {
		one := runCommand{Workload: path, Scale: 1, Load: part, target: c.target}
		if len(c.Seeds) > 0 {
			one.Seed = &c.Seeds[round]
		}
		if err := list.run(&one, setting); err != nil {
			return err
		}
	}
	return nil
}

// run carries out one run and adds it to the list.
func (l *comparison) run(c *runCommand, setting string) error {
	w, err := c.read()
	if err != nil {
		return err
	}
	requests := load.Plan(w)
	load.Stamp(requests, uuid.NewString())
	ideal := c.Embedded.ideal().Clairvoyant(w, requests)
	changes[setting](&c.Embedded)
	if !c.Quiet {
		fmt.Fprintf(os.Stderr, "%s, load %v, seed %d: %s\n", w.Name, c.Load, w.Seed, setting)
	}
	collector, truth, err := c.send(w, requests)
	if err != nil {
		return err
	}
	report := collector.Report(truth)
	l.Runs = append(l.Runs, comparedRun{Setting: setting, Load: c.Load, Report: report, Ideal: ideal})
	return nil
}

func (c *compareCommand) print(list *comparison) error {
	if !c.JSON {
		return list.writeTable(os.Stdout, c.Settings)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(list)
}
