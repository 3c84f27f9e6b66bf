package standin

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/platform/memstore"
	"galenatrestle/internal/standin/platform"
)

type platformCommand struct {
	addresses
	Writes  float64 `default:"400" help:"Writes and lease calls a second that it takes."`
	Reads   float64 `default:"2000" help:"Reads and watches a second that it takes."`
	Weights float64 `default:"1" help:"Transfers a second from the weight store."`
	Seed    uint64  `help:"Seed of the choice of answers to lose."`
}

// Run serves the platform until it is told to stop.
func (c *platformCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	store := memstore.New(memstore.Config{
		WritesPerSecond:  c.Writes,
		ReadsPerSecond:   c.Reads,
		WeightsPerSecond: c.Weights,
		Seed:             c.Seed,
	})
	group, ctx := errgroup.WithContext(ctx)
	address, err := start(ctx, group, c.Listen, platform.API(store))
	if err != nil {
		return err
	}
	ops, err := start(ctx, group, c.Ops, platform.Switches(c.Name, store))
	if err != nil {
		stop()
		return errors.Join(err, group.Wait())
	}
	fmt.Printf("%s serves on %s, its switches on http://%s/standin/%s/fault\n", c.Name, address, ops, c.Name)
	fmt.Println("ready")
	return group.Wait()
}
