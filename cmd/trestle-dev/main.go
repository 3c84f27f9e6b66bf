// Command trestle-dev runs everything in one process on one machine: a
// platform stand-in, three nodes in two availability zones, engine and
// plain-service stand-ins.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"galenatrestle/internal/dev"
	"galenatrestle/internal/version"
)

const description = `Run everything in one process on this machine.

Examples:
  trestle-dev
  trestle-dev --listen-base 18080 --ops 19090
  trestle-dev --two-data-centres`

func main() {
	var options dev.Options
	parser := kong.Parse(&options,
		kong.Name("trestle-dev"),
		kong.Description(description),
		kong.Vars{"version": version.String()},
	)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	parser.FatalIfErrorf(dev.Run(ctx, options, os.Stdout, os.Stderr))
}
