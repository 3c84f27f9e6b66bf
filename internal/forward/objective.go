package forward

import (
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
)

// addObjective adds what the choice of a replica expects of the objective and the pauses.
func addObjective(fields eventlog.Fields, c *placement.ObjectiveChoice) {
	fields["late_probability"] = roundToHundredths(c.LateProbability)
	fields["pause_probability"] = roundToHundredths(c.PauseProbability)
	fields["short_target"] = c.ShortTarget
	if c.Moved {
		fields["home_late_probability"] = roundToHundredths(c.HomeLateProbability)
	}
}
