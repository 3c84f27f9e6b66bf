package trestleload

import (
	"context"
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/faultrun"
)

// faultsCommand runs schedules of random faults.
type faultsCommand struct {
	Seeds   string        `default:"1..10" help:"Seeds, as FIRST..LAST."`
	Nodes   int           `default:"4" help:"Nodes of each deployment."`
	Engines int           `default:"6" help:"Engine replicas of each deployment."`
	For     time.Duration `default:"5s" help:"How long requests arrive in each run."`
	AtOnce  int           `default:"3" help:"Seeds that run side by side."`
}

// Run implements the subcommand; it fails where a promise was broken or a run
// failed.
func (c *faultsCommand) Run() error {
	first, last, err := seedRange(c.Seeds)
	if err != nil {
		return err
	}
	if c.AtOnce < 1 {
		return fmt.Errorf("--at-once: value %d is not above zero", c.AtOnce)
	}
	options := faultrun.Options{Nodes: c.Nodes, Engines: c.Engines, Services: faultrun.DefaultServices, For: c.For}
	var tally faultsTally
	var group errgroup.Group
	group.SetLimit(c.AtOnce)
	for seed := first; seed <= last; seed++ {
		group.Go(func() error {
			result, err := faultrun.Run(context.Background(), seed, options)
			tally.add(result, err)
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return err
	}
	return tally.err()
}

// faultsTally sums the runs up.
type faultsTally struct {
	mu                   sync.Mutex
	runs, failed, broken int
	tries                int
}

func (t *faultsTally) add(result *faultrun.Result, err error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.runs++
	if err != nil {
		t.failed++
		fmt.Printf("failed to run: %v\n", err)
		return
	}
	result.Print(os.Stdout)
	t.tries += len(result.Tries)
	t.broken += len(result.Violations)
}

func (t *faultsTally) err() error {
	fmt.Printf("%d seeds, %d requests sent, %d violations, %d runs failed\n", t.runs, t.tries, t.broken, t.failed)
	if t.broken > 0 || t.failed > 0 {
		return fmt.Errorf("%d promises broken, %d runs failed", t.broken, t.failed)
	}
	return nil
}

// seedRange reads FIRST..LAST, or one seed.
func seedRange(text string) (first, last uint64, err error) {
	from, to, isRange := strings.Cut(text, "..")
	if !isRange {
		to = from
	}
	first, err = strconv.ParseUint(from, 10, 64)
	if err == nil {
		last, err = strconv.ParseUint(to, 10, 64)
	}
	if err != nil || first == 0 || last < first {
		return 0, 0, fmt.Errorf("--seeds: value %q is not FIRST..LAST from 1 on", text)
	}
	return first, last, nil
}
