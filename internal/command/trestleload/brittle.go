package trestleload

import (
	"context"
	"fmt"
	"os"
	"time"

	"galenatrestle/internal/soak"
)

// brittleCommand offers a steady load to brittle replicas through real processes.
type brittleCommand struct {
	Seeds    string        `default:"1..1" help:"Seeds, as FIRST..LAST."`
	Nodes    int           `default:"24" help:"Processes of the program."`
	Replicas int           `default:"3" help:"Brittle replicas."`
	Slots    int           `default:"6" help:"Slots of each replica."`
	Load     float64       `default:"0.55" help:"Calls that arrive, as a part of those that the slots have room for."`
	For      time.Duration `default:"15s" help:"How long falls and calls are counted."`
	Streams  bool          `help:"Offer streams of the model in place of plain calls."`
	Faults   bool          `help:"Kill, stop and pause nodes meanwhile."`
	Keep     string        `type:"path" help:"Directory that keeps settings and logs."`
}

// Run implements the subcommand; it fails where a promise was broken or a run failed.
func (c *brittleCommand) Run() error {
	first, last, err := seedRange(c.Seeds)
	if err != nil {
		return err
	}
	if c.Nodes < 1 || c.Replicas < 1 || c.Slots < 1 || c.Load <= 0 || c.For <= 0 {
		return fmt.Errorf("--nodes %d, --replicas %d, --slots %d, --load %g and --for %s must be above zero", c.Nodes, c.Replicas, c.Slots, c.Load, c.For)
	}
	self, err := os.Executable()
	if err != nil {
		return err
	}
	broken := 0
	for seed := first; seed <= last; seed++ {
		report, err := c.play(seed, []string{self, soakNodeName})
		if err != nil {
			return err
		}
		b := report.Brittle
		fmt.Printf("seed %d: %d nodes, %d slots, load %.2f: %d falls %v, %d of %d first tries served, %d runs with room for %.0f, %d violations\n",
			seed, c.Nodes, c.Replicas*c.Slots, c.Load, len(b.Falls), b.Falls, b.Served, b.Calls, b.Runs, b.Room, len(report.Violations))
		for _, v := range report.Violations {
			fmt.Println("  broken:", v)
		}
		if len(report.Violations) > 0 {
			broken++
		}
	}
	if broken > 0 {
		return fmt.Errorf("%d of %d seeds broke a promise", broken, last-first+1)
	}
	return nil
}

func (c *brittleCommand) play(seed uint64, program []string) (soak.Report, error) {
	dir, err := runDirectory(c.Keep, "brittle", seed)
	if err != nil {
		return soak.Report{}, err
	}
	run := soak.BrittleLoad{Seed: seed, Command: program, Dir: dir, Nodes: c.Nodes, Replicas: c.Replicas, Slots: c.Slots, Load: c.Load, Counted: c.For, NodeFaults: c.Faults, Streams: c.Streams}
	report, err := soak.Run(context.Background(), run.Options())
	if c.Keep == "" {
		err = joinRemove(err, dir)
	}
	return report, err
}

// runDirectory creates the directory of a run's settings and logs in that which keeps them; empty: in
// the one for temporary files.
func runDirectory(keep, name string, seed uint64) (string, error) {
	if keep != "" {
		if err := os.MkdirAll(keep, 0o755); err != nil {
			return "", err
		}
	}
	return os.MkdirTemp(keep, fmt.Sprintf("%s-%d-", name, seed))
}
