package fault

// Kind names a fault.
type Kind string

// The faults of engines and plain services.
const (
	// Straggler makes the time between tokens grow by Factor.
	Straggler Kind = "straggler"
	// CrashMidAnswer breaks all connections once, when a run whose prompt
	// contains Text has given some tokens, and for a restart after it.
	CrashMidAnswer Kind = "crash-mid-answer"
	// CrashOnPrompt does the same each time a prompt that contains Text runs.
	CrashOnPrompt Kind = "crash-on-prompt"
	// Refuse answers 503 before anything is run.
	Refuse Kind = "refuse"
	// Hang accepts requests and sends nothing.
	Hang Kind = "hang"
	// Leaving refuses new work and finishes what runs.
	Leaving Kind = "leaving"
)

// The faults of the platform.
const (
	// Down fails every call before it takes effect.
	Down Kind = "down"
	// Slow delays every call.
	Slow Kind = "slow"
	// LostAnswer lets writes take effect and loses their answers.
	LostAnswer Kind = "lost-answer"
	// WatchGap makes watches lose events and say so.
	WatchGap Kind = "watch-gap"
	// LeaseLapse ends all leases at once.
	LeaseLapse Kind = "lease-lapse"
	// StaleInstances freezes the list of VMs.
	StaleInstances Kind = "stale-instances"
)

// UpstreamKinds returns the faults of engines and plain services.
func UpstreamKinds() []Kind {
	return []Kind{Straggler, CrashMidAnswer, CrashOnPrompt, Refuse, Hang, Leaving}
}

// PlatformKinds returns the faults of the platform.
func PlatformKinds() []Kind {
	return []Kind{Down, Slow, LostAnswer, WatchGap, LeaseLapse, StaleInstances}
}
