package router

// DisabledFeatures selects parts of the decision logic to disable, to measure what each
// contributes. Each field describes the feature that it disables. It is not an operator setting.
type DisabledFeatures struct {
	// SlackOrder orders the requests of a tier by slack instead of arrival.
	SlackOrder bool
	// FairShare divides a class's capacity between workspaces.
	FairShare bool
	// MinShare serves a class whose oldest request has waited too long.
	MinShare bool
	// LengthEstimates refuses waiting requests expected to finish too late.
	LengthEstimates bool
	// Admission refuses arriving requests expected to finish too late.
	Admission bool
	// AdaptiveLimits adapts the concurrency limits of the replicas.
	AdaptiveLimits bool
	// StragglerDetection limits the requests sent to slow replicas.
	StragglerDetection bool
	// ExpectedFinish replaces the power of two choices for choosing a replica.
	ExpectedFinish bool
}

// Baseline disables all features.
var Baseline = DisabledFeatures{
	SlackOrder: true, FairShare: true, MinShare: true, LengthEstimates: true,
	Admission: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true,
}
