// Package trestled is the command of that name, one entry VM's process: callers'
// traffic, the operators' service, the link to the other nodes and the control
// duties. The state is that of package node.
package trestled

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"galenatrestle/internal/daemon"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/version"
)

const description = `Serve on one entry VM.

SIGTERM and SIGINT shut the node down gracefully: it leaves the entries, keeps
its listener open while callers hold its address, and finishes what runs.

Examples:
  trestled --settings /etc/trestle/trestled.yaml
  trestled --settings trestled.yaml --check`

// commandLine is trestled's command line.
type commandLine struct {
	Settings string           `help:"Settings file." required:"" type:"path"`
	Check    bool             `help:"Check the settings and exit."`
	Version  kong.VersionFlag `help:"Print the version and exit."`
}

// Main runs the command line of the process.
func Main() { Run(nil) }

// Run is Main with dialReplica for connections to the replicas of pass-through routes; nil: TCP.
func Run(dialReplica replicaconn.Dial) {
	var cli commandLine
	parser := kong.Parse(&cli,
		kong.Name("trestled"),
		kong.Description(description),
		kong.Vars{"version": version.String()},
	)
	if cli.Check {
		parser.FatalIfErrorf(daemon.Check(cli.Settings))
		return
	}
	parser.FatalIfErrorf(Serve(cli.Settings, dialReplica))
}

// Serve serves by the settings file until SIGTERM or SIGINT, with dialReplica as for Run.
func Serve(settingsPath string, dialReplica replicaconn.Dial) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	return daemon.Run(ctx, daemon.Options{SettingsPath: settingsPath, Stdout: os.Stdout, Stderr: os.Stderr, DialReplica: dialReplica})
}
