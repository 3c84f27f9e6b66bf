package router

// Features names decisions that can be taken out of a pool, one by one, to
// measure what each is worth. Operators have no use for it.
type Features struct {
	// SlackOrder orders by slack within a tier, those on target before the late;
	// without it by arrival.
	SlackOrder bool
	// FairShare shares a class's turn between workspaces.
	FairShare bool
	// MinShare serves classes whose oldest request waited too long.
	MinShare bool
	// LengthEstimates refuses by estimated length what can be of no more use.
	LengthEstimates bool
	// Admission refuses newcomers that would be of no use even at once.
	Admission bool
	// AdaptiveLimits learns the replicas' limits; without it they are fixed.
	AdaptiveLimits bool
	// StragglerDetection keeps requests from replicas that are much too slow.
	StragglerDetection bool
	// ExpectedFinish chooses by expected finish; without it by the power of
	// two choices.
	ExpectedFinish bool
}

// Baseline names all of them: what is left is the order by tier and arrival,
// fixed slots and the power of two choices.
var Baseline = Features{
	SlackOrder: true, FairShare: true, MinShare: true, LengthEstimates: true,
	Admission: true, AdaptiveLimits: true, StragglerDetection: true, ExpectedFinish: true,
}
