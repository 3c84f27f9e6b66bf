package crashcause

import (
	"time"

	"galenatrestle/internal/quarantine"
)

// Run is a call that ran on a replica when it crashed and was not shown to be sound there.
type Run struct {
	// Factors are those of its content and of the parts of its prompt that other calls may share.
	Factors []Factor
	// StartedAt is when it was sent to the replica.
	StartedAt time.Time
	// TrialOf is the cause of which it was a trial; zero: it was none.
	TrialOf Factor
}

// SuspectRuns returns the runs that may have crashed their replica at the time. scope is the upstream, or what else
// keeps the factors of other calls apart.
func SuspectRuns(crashedAt time.Time, scope string, ended []quarantine.EndedRun, trials *Trials) []Run {
	var runs []Run
	for _, run := range ended {
		if run.Sound {
			continue
		}
		factors := FactorsOf(scope, run.Fingerprint, run.Parts)
		runs = append(runs, Run{Factors: factors, StartedAt: crashedAt.Add(-run.Lasted), TrialOf: trials.Among(factors)})
	}
	return runs
}
