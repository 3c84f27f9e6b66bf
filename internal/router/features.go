package router

// Features names decisions that can be taken out of a pool, one by one, to
// measure what each is worth. Operators have no use for it.
type Features struct {
	// Slack orders by slack within a tier, those on target before the late;
	// without it by arrival.
	Slack bool
	// FairShare shares a class's turn between workspaces.
	FairShare bool
	// MinShare serves classes whose oldest request waited too long.
	MinShare bool
	// Estimates refuses by estimated length what can be of no more use.
	Estimates bool
	// Admission refuses newcomers that would be of no use even at once.
	Admission bool
	// Limits learns the replicas' limits; without it they are fixed.
	Limits bool
	// Stragglers keeps requests from replicas that are much too slow.
	Stragglers bool
	// ExpectedFinish chooses by expected finish; without it by the power of
	// two choices.
	ExpectedFinish bool
}

// Baseline names all of them: what is left is the order by tier and arrival,
// fixed slots and the power of two choices.
var Baseline = Features{
	Slack: true, FairShare: true, MinShare: true, Estimates: true,
	Admission: true, Limits: true, Stragglers: true, ExpectedFinish: true,
}
