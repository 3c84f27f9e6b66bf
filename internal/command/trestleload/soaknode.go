package trestleload

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"galenatrestle/internal/daemon"
	"galenatrestle/internal/replicaconn"
	"galenatrestle/internal/soak/pathfault"
)

// soakNodeName is the name of the subcommand.
const soakNodeName = "soak-node"

// soakNodeCommand runs a node whose connections to replicas the soak can cut.
type soakNodeCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
}

// Run implements the subcommand.
func (c *soakNodeCommand) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	gate := pathfault.NewGate(os.Getenv(pathfault.FileVariable), replicaconn.TCPDial(replicaconn.DefaultDialTimeout))
	return daemon.Run(ctx, daemon.Options{SettingsPath: c.Settings, Stdout: os.Stdout, Stderr: os.Stderr, DialReplica: gate.Dial})
}
