package gateway

import (
	"encoding/json"
	"strings"

	"galenatrestle/internal/refusal"
)

// readFields are the request fields that are read here, as engines know them.
var readFields = []string{
	"model", "messages", "prompt", "stream", "stream_options",
	"max_tokens", "max_completion_tokens", "priority", "continue_final_message",
}

// checkNames refuses a field that differs from a known one in its case alone:
// it would be read here, and not by the engine, which distinguishes them.
func checkNames(fields map[string]json.RawMessage) error {
	for name := range fields {
		for _, known := range readFields {
			if name != known && strings.EqualFold(name, known) {
				return refusal.BadField(name, excerpt(fields[name]), "must be written "+known)
			}
		}
	}
	return nil
}
