package dev

import (
	"context"
	"fmt"
	"io"
	"time"

	"galenatrestle/internal/embedded"
	"galenatrestle/internal/logging"
)

// stopTimeout bounds the graceful stop.
const stopTimeout = 30 * time.Second

const banner = `Entries (callers' addresses):
%s
Operators and metrics: http://%s

A chat:

  curl -sN http://%[3]s/v1/chat/completions -H 'Authorization: Bearer %[4]s' \
    -H 'Trestle-Class: counter' -H 'Content-Type: application/json' \
    -d '{"model":"trestle-llm","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"why does the torque sensor read zero"}]}'

A call that runs at most once, however often it is sent:

  curl -s http://%[3]s/services/member-ledger/claims -H 'Authorization: Bearer %[4]s' \
    -H 'Trestle-Class: counter' -H 'Idempotency-Key: claim-1042' -H 'Content-Type: application/json' \
    -d '{"account":"shop-17","part":"torque sensor"}'

What is in force, and a change of it:

  export TRESTLE_OPS=%[2]s TRESTLE_OPERATOR_KEY=%[5]s
  go run ./cmd/trestlectl status
  go run ./cmd/trestlectl config show > config.yaml
  go run ./cmd/trestlectl config apply config.yaml

ready
`

// Run starts a deployment, tells how to use it, and stops it gracefully when
// ctx ends.
func Run(ctx context.Context, options Options, stdout, stderr io.Writer) error {
	log, err := logging.New(stderr, options.LogFormat, options.LogLevel)
	if err != nil {
		return err
	}
	if options.TwoDataCentres {
		return runPair(ctx, options, log, stdout)
	}
	d, err := embedded.Start(embedded.Options{
		ListenBase: options.ListenBase,
		OpsPort:    options.Ops,
		Log:        log,
	})
	if err != nil {
		return err
	}
	announce(stdout, d)
	<-ctx.Done()
	return d.Stop(stopTimeout)
}

func announce(w io.Writer, d *embedded.Deployment) {
	fmt.Fprintf(w, banner, entriesOf(d), d.Nodes[0].OpsAddress(), d.Nodes[0].EntryAddress(), embedded.PrairieKey, embedded.OperatorKey)
}

// entriesOf lists the entries, one a line.
func entriesOf(d *embedded.Deployment) string {
	entries := ""
	for _, n := range d.Nodes {
		entries += fmt.Sprintf("  http://%s (%s, %s)\n", n.EntryAddress(), n.Name(), n.AvailabilityZone())
	}
	return entries
}
