package trestlectl

import (
	"fmt"
	"maps"
	"strings"

	"connectrpc.com/connect"

	"galenatrestle/internal/intent"
)

// wording is what two words of a proposal mean.
type wording struct {
	kind intent.Kind
	// parameter is what the third word names.
	parameter string
}

// wordings are the kinds of intent as an operator says them.
var wordings = map[string]wording{
	"move upstream":   {intent.KindMoveUpstream, "upstream"},
	"move workspaces": {intent.KindMoveWorkspaces, "workspaces"},
	"drain vm":        {intent.KindDrainVM, "vm"},
	"drain replica":   {intent.KindDrainReplica, "replica"},
	"load model":      {intent.KindLoad, "model"},
	"load adapter":    {intent.KindLoad, "model"},
	"unload model":    {intent.KindUnload, "model"},
	"unload adapter":  {intent.KindUnload, "model"},
	"change role":     {intent.KindChangeRole, "role"},
	"declare dead":    {intent.KindDeclareDead, "vm"},
}

// intent translates the words and flags; one word is a kind by itself.
func (c *proposeCommand) intent() (kind string, parameters map[string]string, err error) {
	parameters = make(map[string]string)
	maps.Copy(parameters, c.Set)
	for name, value := range map[string]string{
		"data_centre": c.To, "upstream": c.Upstream, "replica": c.Replica, "version": c.Version,
	} {
		if value != "" {
			parameters[name] = value
		}
	}
	if len(c.Words) == 1 {
		return c.Words[0], parameters, nil
	}
	said := strings.Join(c.Words, " ")
	if len(c.Words) != 3 {
		return "", nil, wrongWords(said)
	}
	meant, ok := wordings[c.Words[0]+" "+c.Words[1]]
	if !ok {
		return "", nil, wrongWords(said)
	}
	parameters[meant.parameter] = c.Words[2]
	return string(meant.kind), parameters, nil
}

func wrongWords(said string) error {
	return connect.NewError(connect.CodeInvalidArgument, fmt.Errorf("%q is no intent: see trestlectl intent propose --help", said))
}
