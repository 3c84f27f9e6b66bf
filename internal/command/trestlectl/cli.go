package trestlectl

import (
	"time"

	"github.com/alecthomas/kong"
)

// cli is the command line.
type cli struct {
	Address string           `help:"Operators' address of any node." default:"127.0.0.1:9090" env:"TRESTLE_OPS" placeholder:"HOST:PORT"`
	KeyFile string           `help:"File that holds the operator's key." type:"existingfile" placeholder:"FILE"`
	Timeout time.Duration    `help:"How long a call may take." default:"30s"`
	Version kong.VersionFlag `help:"Print the version and exit."`

	Config  configCommand  `cmd:"" help:"Check, apply and show configurations."`
	Intent  intentCommand  `cmd:"" help:"Propose, confirm and abandon plans."`
	Status  statusCommand  `cmd:"" help:"Show the nodes, what is in force where, and the leases."`
	Explain explainCommand `cmd:"" help:"Tell what happened to a request and why."`
	Trace   traceCommand   `cmd:"" help:"Join the log lines of nodes into one request's timeline; needs no node."`
	Entries entriesCommand `cmd:"" help:"Show the entry addresses as callers are told them."`
}

type configCommand struct {
	Check   checkCommand   `cmd:"" help:"Check a document on this machine; needs no node."`
	Apply   applyCommand   `cmd:"" help:"Propose a document and, with --confirm, apply it."`
	Show    showCommand    `cmd:"" help:"Print a configuration as YAML."`
	History historyCommand `cmd:"" help:"List the accepted revisions, newest first."`
	Diff    diffCommand    `cmd:"" help:"Print what changed between two revisions."`
}

type intentCommand struct {
	Propose proposeCommand    `cmd:"" help:"Turn an intent into a plan; nothing happens yet."`
	Confirm confirmCommand    `cmd:"" help:"Let a plan take effect."`
	Abandon abandonCommand    `cmd:"" help:"Drop a plan, or undo it as far as that is safe."`
	Status  planStatusCommand `cmd:"" help:"Show one plan, or all that are kept."`
}
