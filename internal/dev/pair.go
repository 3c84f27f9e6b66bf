package dev

import (
	"context"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"

	"galenatrestle/internal/embedded"
)

// eastEntries is how far the east's first entry port is above the west's.
const eastEntries = 10

const pairBanner = `West, which serves trestle-llm:
%sOperators and metrics: http://%s

East, where trestle-llm is prepared:
%sOperators and metrics: http://%s

A move of trestle-llm to the east (PLAN is the id that "propose" prints):

  export TRESTLE_OPS=%[2]s TRESTLE_OPERATOR_KEY=%[5]s
  go run ./cmd/trestlectl intent propose move upstream trestle-llm --to east
  go run ./cmd/trestlectl intent confirm PLAN
  go run ./cmd/trestlectl intent status PLAN
  curl -sN http://%[6]s/v1/chat/completions -H 'Authorization: Bearer %[7]s' \
    -H 'Trestle-Class: counter' -H 'Content-Type: application/json' \
    -d '{"model":"trestle-llm","max_tokens":12,"messages":[{"role":"user","content":"why does the torque sensor read zero"}]}'

Once the status is done, the chat is asked in the west and answered in the east.
To go back, propose the move at the east: --address %[4]s, --to west.

ready
`

// runPair runs two data centres until ctx ends.
func runPair(ctx context.Context, options Options, log logrus.FieldLogger, stdout io.Writer) error {
	west := embedded.Options{ListenBase: options.ListenBase, OpsPort: options.Ops, Log: log}
	east := west
	east.ListenBase = above(options.ListenBase, eastEntries)
	east.OpsPort = above(options.Ops, 1)
	pair, err := embedded.StartPair(west, east)
	if err != nil {
		return err
	}
	fmt.Fprintf(stdout, pairBanner,
		entriesOf(pair.West), pair.West.Nodes[0].OpsAddress(),
		entriesOf(pair.East), pair.East.Nodes[0].OpsAddress(),
		embedded.OperatorKey, pair.West.Nodes[0].EntryAddress(), embedded.PrairieKey)
	<-ctx.Done()
	return pair.Stop(stopTimeout)
}

// above adds to a port, except to one that stands for a free port.
func above(port, by int) int {
	if port == 0 {
		return 0
	}
	return port + by
}
