package dev

import "github.com/alecthomas/kong"

// Options are trestle-dev's command line.
type Options struct {
	ListenBase     int              `help:"First entry port; the nodes take this and the next ones. 0 takes free ports." default:"8080" name:"listen-base"`
	Ops            int              `help:"Port of the first node's operator service and metrics. 0 takes a free port." default:"9090"`
	TwoDataCentres bool             `help:"Run two deployments, west and east, that move upstreams to each other. The east has the next ports: 10 above the entries' first, 1 above the operators'." name:"two-data-centres"`
	LogLevel       string           `help:"Log level: debug, info, warning, error." default:"warning"`
	LogFormat      string           `help:"Log format: text or json." default:"text" enum:"text,json"`
	Version        kong.VersionFlag `help:"Print the version and exit."`
}
