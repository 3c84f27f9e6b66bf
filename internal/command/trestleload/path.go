package trestleload

import (
	"context"
	"os"
	"time"

	"galenatrestle/internal/pathcost"
)

// pathCommand measures what the path through a node adds.
type pathCommand struct {
	Rate     float64       `help:"Requests a second, open loop." default:"2000"`
	Duration time.Duration `help:"How long each way is loaded." default:"5s"`
	Tokens   int           `help:"Length of each answer." default:"16"`
	Engines  int           `help:"Engine stand-ins." default:"8"`
}

// Run implements the subcommand.
func (c *pathCommand) Run() error {
	report, err := pathcost.Run(context.Background(), pathcost.Options{
		Rate:     c.Rate,
		Duration: c.Duration,
		Tokens:   c.Tokens,
		Engines:  c.Engines,
	})
	if err != nil {
		return err
	}
	report.Print(os.Stdout)
	return nil
}
