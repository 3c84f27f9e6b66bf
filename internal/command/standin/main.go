// Package standin is the command trestle-standin. It runs one outside system as
// a process of its own, with fault switches on its ops address: the platform, a
// model engine or a plain service.
package standin

import (
	"github.com/alecthomas/kong"

	"galenatrestle/internal/version"
)

const description = `Run a stand-in for an outside system.

Examples:
  trestle-standin engine --listen 127.0.0.1:9101 --ops 127.0.0.1:9191 --name tab-llm-1 --model tab-llm
  trestle-standin service --listen 127.0.0.1:9201 --ops 127.0.0.1:9291 --name tab-api-1
  trestle-standin platform --listen 127.0.0.1:9301 --ops 127.0.0.1:9391 --name platform
  curl -X POST 127.0.0.1:9191/standin/tab-llm-1/fault -d '{"kind":"straggler","for":"10s","factor":10}'
  curl 127.0.0.1:9191/standin/tab-llm-1/runs`

// commands are the subcommands, each in a file of its own.
type commands struct {
	Engine   engineCommand    `cmd:"" help:"A model engine that batches continuously."`
	Service  serviceCommand   `cmd:"" help:"A plain service that echoes what it ran."`
	Platform platformCommand  `cmd:"" help:"The platform: key-value store, leases, instance list, weight store."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs the command line of the process.
func Main() {
	var cli commands
	ctx := kong.Parse(&cli,
		kong.Name("trestle-standin"),
		kong.Description(description),
		kong.Vars{"version": version.String()},
	)
	ctx.FatalIfErrorf(ctx.Run())
}
