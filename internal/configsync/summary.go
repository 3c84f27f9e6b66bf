package configsync

import (
	"fmt"
	"strings"

	"galenatrestle/internal/config"
)

// maxSummaryNames is the most changes that a summary names.
const maxSummaryNames = 4

// summarize names what a proposal changes, for the one who is told that
// another was faster.
func summarize(base, document *config.Document) string {
	if base == nil {
		return "first configuration"
	}
	changes := config.Diff(base, document)
	if len(changes) == 0 {
		return "no change"
	}
	names := make([]string, 0, maxSummaryNames+1)
	for _, change := range changes[:min(len(changes), maxSummaryNames)] {
		names = append(names, strings.TrimSpace(fmt.Sprintf("%s %s %s", change.Action, change.Section, change.Name)))
	}
	if more := len(changes) - len(names); more > 0 {
		names = append(names, fmt.Sprintf("and %d more", more))
	}
	return strings.Join(names, ", ")
}
