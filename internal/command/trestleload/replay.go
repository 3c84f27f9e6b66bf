package trestleload

import (
	"encoding/json"
	"fmt"
	"os"

	"galenatrestle/internal/load"
)

type replayCommand struct {
	Trace      string            `arg:"" type:"existingfile" help:"Trace file: one JSON object a line."`
	Key        map[string]string `required:"" help:"Keys of the workspaces, as workspace=key."`
	EngineSeed uint64            `help:"The engines' seed of answer lengths."`
	target
}

// replayReport is what replay prints with --json.
type replayReport struct {
	Requests    int               `json:"requests"`
	Differences []load.Difference `json:"differences"`
}

// Run replays the trace; it fails where an outcome differs.
func (c *replayCommand) Run() error {
	file, err := os.Open(c.Trace)
	if err != nil {
		return err
	}
	defer file.Close()
	w, requests, err := load.ReadTrace(file, c.Key)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Trace, err)
	}
	w.EngineSeed = c.EngineSeed
	collector, _, err := c.send(w, requests)
	if err != nil {
		return err
	}
	results := collector.Results()
	if len(results) != len(requests) {
		return fmt.Errorf("stopped after %d of %d requests", len(results), len(requests))
	}
	report := replayReport{Requests: len(results), Differences: load.Differences(results)}
	if err := c.print(report); err != nil {
		return err
	}
	if differ := len(report.Differences); differ > 0 {
		return fmt.Errorf("%d of %d outcomes differ", differ, report.Requests)
	}
	return nil
}

func (c *replayCommand) print(report replayReport) error {
	if c.JSON {
		return json.NewEncoder(os.Stdout).Encode(report)
	}
	for _, d := range report.Differences {
		fmt.Printf("%s: stated %s, got %s\n", d.Request, d.Stated, d.Got)
	}
	fmt.Printf("%d requests, %d differ\n", report.Requests, len(report.Differences))
	return nil
}
