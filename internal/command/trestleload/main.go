// Package trestleload is the command trestle-load. It offers load to entry
// addresses and reports what became of it, or replays a trace against its stated
// outcomes.
package trestleload

import (
	"github.com/alecthomas/kong"

	"galenatrestle/internal/version"
)

const description = `Offer load to a deployment and measure it.

Examples:
  trestle-load run bench/friday-night.yaml --entry 127.0.0.1:8080 --runs http://127.0.0.1:9090
  trestle-load run bench/cold-morning.yaml --ask-entries --json
  trestle-load run bench/straggler.yaml --embedded-nodes 8 --embedded-engines 20 --scale 5
  trestle-load compare bench/steady-mix.yaml --embedded-nodes 8 --loads 1,1.5,2 --seeds 1,2,3
  trestle-load path --rate 2000 --tokens 16
  trestle-load capacity --nodes 2,4,8 --plot capacity.svg
  trestle-load faults --seeds 1..20
  trestle-load soak --seeds 1..50 --cuts 2 --brittle 1 --silences 3
  trestle-load brittle --nodes 24 --replicas 3 --slots 6 --load 0.55
  trestle-load replay trace.jsonl --key prairie-spoke=dev-key-prairie-spoke

It exits with 1 where a promise was broken or an outcome differs.`

// commands are the subcommands, each in a file of its own.
type commands struct {
	Run      runCommand       `cmd:"" help:"Run a workload, open loop, and report."`
	Compare  compareCommand   `cmd:"" help:"Run workloads with several settings and print one table, beside a clairvoyant order."`
	Replay   replayCommand    `cmd:"" help:"Replay a trace and compare each outcome with the stated one."`
	Path     pathCommand      `cmd:"" help:"Measure what the path through a node adds to a call straight to the engine."`
	Capacity capacityCommand  `cmd:"" help:"Measure how the cost of each role grows, and what it is at the fleet's size."`
	Faults   faultsCommand    `cmd:"" help:"Run schedules of random faults drawn from seeds and check what must always hold."`
	Soak     soakCommand      `cmd:"" help:"Run the real program as processes under faults from outside and check what callers and replicas see."`
	Brittle  brittleCommand   `cmd:"" help:"Offer a steady load to replicas that end if they have to refuse many requests."`
	SoakNode soakNodeCommand  `cmd:"" hidden:"" help:"Run one node of a soak."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs the command line of the process.
func Main() {
	var cli commands
	ctx := kong.Parse(&cli,
		kong.Name("trestle-load"),
		kong.Description(description),
		kong.Vars{"version": version.String()},
	)
	ctx.FatalIfErrorf(ctx.Run())
}
