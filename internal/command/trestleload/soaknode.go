package trestleload

import (
	"galenatrestle/internal/command/trestled"
	"galenatrestle/internal/soak/pathfault"
)

// soakNodeName is the name of the subcommand.
const soakNodeName = "soak-node"

// soakNodeCommand runs a node whose connections to replicas the soak can cut.
type soakNodeCommand struct {
	Settings string `help:"Settings file." required:"" type:"path"`
}

// Run implements the subcommand.
func (c *soakNodeCommand) Run() error { return trestled.Serve(c.Settings, pathfault.Dial()) }
