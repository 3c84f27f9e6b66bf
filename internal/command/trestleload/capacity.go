package trestleload

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"galenatrestle/internal/capacity"
)

// capacityCommand measures how the cost of each role grows.
type capacityCommand struct {
	Nodes    []int         `help:"Sizes of a region." default:"2,4,8,16,32,60"`
	Duration time.Duration `help:"Length of each measurement in real time." default:"5s"`
	Only     []string      `help:"Measure only the steps of these names."`
	Plot     string        `help:"Write a plot of control traffic and processor time to this SVG file." type:"path"`
}

// Run implements the subcommand.
func (c *capacityCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	options := capacity.DefaultOptions()
	options.Nodes = c.Nodes
	options.Duration = c.Duration
	options.Only = c.Only
	slopes, err := capacity.Measure(ctx, options, func(text string) { fmt.Fprintln(os.Stderr, text) })
	if err != nil {
		return err
	}
	if err := capacity.WriteTable(os.Stdout, slopes); err != nil {
		return err
	}
	if len(c.Only) > 0 {
		return nil
	}
	fmt.Println()
	if err := capacity.WriteBudget(os.Stdout, capacity.NodeAllowance(), capacity.Budget(options.Fleet, slopes)); err != nil || c.Plot == "" {
		return err
	}
	return c.plot(slopes)
}

func (c *capacityCommand) plot(slopes []capacity.Slope) error {
	canvas, err := capacity.Plot(slopes)
	if err != nil {
		return err
	}
	file, err := os.Create(c.Plot)
	if err != nil {
		return err
	}
	defer file.Close()
	if _, err := canvas.WriteTo(file); err != nil {
		return err
	}
	return file.Close()
}
