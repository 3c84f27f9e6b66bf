package trestleload

import (
	"encoding/json"
	"fmt"
	"os"

	"github.com/google/uuid"

	"galenatrestle/internal/load"
)

type runCommand struct {
	Workload   string  `arg:"" type:"existingfile" help:"Workload file (YAML)."`
	Seed       *uint64 `help:"Use this seed in place of the workload's."`
	EngineSeed *uint64 `help:"The engines' seed of answer lengths, in place of the workload's."`
	Scale      float64 `default:"1" help:"Multiply all rates by this."`
	Load       float64 `help:"Scale the rates so that they ask for this part of the embedded deployment's tokens a second."`
	target
}

// Run offers the workload; it fails where a promise was broken.
func (c *runCommand) Run() error {
	w, err := c.read()
	if err != nil {
		return err
	}
	requests := load.Plan(w)
	load.Stamp(requests, uuid.NewString())
	collector, truth, err := c.send(w, requests)
	if err != nil {
		return err
	}
	report := collector.Report(truth)
	if err := c.print(report); err != nil {
		return err
	}
	if broken := len(report.Violations); broken > 0 {
		return fmt.Errorf("%d promises broken", broken)
	}
	return nil
}

// read returns the workload with what the flags change.
func (c *runCommand) read() (*load.Workload, error) {
	data, err := os.ReadFile(c.Workload)
	if err != nil {
		return nil, err
	}
	w, err := load.ParseWorkload(data)
	if err != nil {
		return nil, fmt.Errorf("%s:\n%w", c.Workload, err)
	}
	if c.Seed != nil {
		w.Seed = *c.Seed
	}
	if c.EngineSeed != nil {
		w.EngineSeed = *c.EngineSeed
	}
	if err := c.scale(w); err != nil {
		return nil, err
	}
	return w, nil
}

// scale sets the rates as the flags say.
func (c *runCommand) scale(w *load.Workload) error {
	if c.Scale <= 0 || c.Load < 0 {
		return fmt.Errorf("--scale, --load: values %v, %v: want them above zero", c.Scale, c.Load)
	}
	w.Scale(c.Scale)
	if c.Load == 0 {
		return nil
	}
	if c.Embedded.Nodes == 0 {
		return fmt.Errorf("--load: value %v needs the capacity of an embedded deployment: --embedded-nodes", c.Load)
	}
	demand := load.Demand(w, load.Plan(w))
	if demand == 0 {
		return fmt.Errorf("--load: value %v: the workload asks for no tokens", c.Load)
	}
	w.Scale(c.Load * c.Embedded.capacity() / demand)
	return nil
}

func (c *runCommand) print(report *load.Report) error {
	if !c.JSON {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
