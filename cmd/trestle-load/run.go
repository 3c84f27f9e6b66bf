package main

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
	target
}

// Run offers the workload; it fails where a promise was broken.
func (c *runCommand) Run() error {
	if c.Scale <= 0 {
		return fmt.Errorf("--scale: value %v is not above zero", c.Scale)
	}
	data, err := os.ReadFile(c.Workload)
	if err != nil {
		return err
	}
	w, err := load.ParseWorkload(data)
	if err != nil {
		return fmt.Errorf("%s:\n%w", c.Workload, err)
	}
	if c.Seed != nil {
		w.Seed = *c.Seed
	}
	if c.EngineSeed != nil {
		w.EngineSeed = *c.EngineSeed
	}
	w.Scale(c.Scale)
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

func (c *runCommand) print(report *load.Report) error {
	if !c.JSON {
		return report.WriteTable(os.Stdout)
	}
	encoder := json.NewEncoder(os.Stdout)
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}
