package intent

import "time"

// StepKind names the action that carries out a step.
type StepKind string

// The kinds of step.
const (
	StepWriteConfig   StepKind = "write-config"
	StepAwaitInForce  StepKind = "await-in-force"
	StepWithdrawEntry StepKind = "withdraw-entry"
	StepHandOnDuties  StepKind = "hand-on-duties"
	StepAwaitKeepTime StepKind = "await-keep-time"
	StepAwaitVM       StepKind = "await-vm-in-flight"
	StepMarkLeaving   StepKind = "mark-leaving"
	StepAwaitReplica  StepKind = "await-replica-in-flight"
	StepOfferMove     StepKind = "offer-move"
	StepAwaitReady    StepKind = "await-target-ready"
	StepArmNodes      StepKind = "arm-nodes"
	StepSeal          StepKind = "seal"
	StepTransfer      StepKind = "transfer"
	StepOpen          StepKind = "open"
	StepSettle        StepKind = "settle"
	StepOrderLoad     StepKind = "order-load"
	StepOrderUnload   StepKind = "order-unload"
	StepOrderRole     StepKind = "order-role"
	StepDeclareDead   StepKind = "declare-dead"
)

// StepState is how far a step is.
type StepState string

// The states of a step.
const (
	StepPending StepState = "pending"
	StepRunning StepState = "running"
	StepDone    StepState = "done"
	StepUndone  StepState = "undone"
)

// ClassCapacity is what a class has left at a step, in slots of the upstream.
type ClassCapacity struct {
	Class    string `json:"class"`
	Upstream string `json:"upstream"`
	// Left is what higher tiers leave of the upstream's slots.
	Left float64 `json:"left"`
	// Needed is the class's present use.
	Needed float64 `json:"needed"`
	// BelowTarget says that Left does not cover Needed.
	BelowTarget bool `json:"below_target,omitempty"`
}

// Step is one numbered step of a plan, with its progress.
type Step struct {
	// Number counts from 1.
	Number int      `json:"number"`
	Kind   StepKind `json:"kind"`
	// Target names the replica, VM or set that the step acts on.
	Target string `json:"target,omitempty"`
	// Touches lists what the step changes or waits for.
	Touches []string `json:"touches"`
	// Capacity is what each class has left from this step on.
	Capacity []ClassCapacity `json:"capacity,omitempty"`
	// InFlight counts the requests in flight on what the step touches, as
	// known when the plan was worked out.
	InFlight int `json:"in_flight,omitempty"`
	// Expected is how long the step is expected to last.
	Expected time.Duration `json:"expected,omitempty"`
	// NoReturn says that from the start of this step the plan can only go
	// forward.
	NoReturn bool `json:"no_return,omitempty"`

	State StepState `json:"state"`
	// Started and Finished are zero until the step has.
	Started  time.Time `json:"started,omitzero"`
	Finished time.Time `json:"finished,omitzero"`
	// Wait says why the step is not finished yet.
	Wait string `json:"wait,omitempty"`
}
