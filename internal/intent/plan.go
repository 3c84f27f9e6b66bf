package intent

import "time"

// State is how far a plan is.
type State string

// The states of a plan.
const (
	StateProposed   State = "proposed"
	StateRunning    State = "running"
	StateAbandoning State = "abandoning"
	StateAbandoned  State = "abandoned"
	StateDone       State = "done"
	StateFailed     State = "failed"
)

// Final says that nothing more will happen to a plan in this state.
func (s State) Final() bool {
	return s == StateAbandoned || s == StateDone || s == StateFailed
}

// Base is what a plan was worked out on; a plan whose base has moved is stale.
type Base struct {
	// Config is the configuration's revision.
	Config int64 `json:"config"`
	// Head is the revision of the head key of the plans; zero before the
	// first plan was ever confirmed.
	Head int64 `json:"head"`
}

// Plan is an intent worked out into steps, with its progress.
type Plan struct {
	ID     string `json:"id"`
	Intent Intent `json:"intent"`
	// Operator proposed the plan.
	Operator string `json:"operator"`
	Base     Base   `json:"base"`
	Steps    []Step `json:"steps"`
	// Risks are sentences for the operator.
	Risks []string `json:"risks,omitempty"`
	// NeedsAcceptRisk says that a class would be left below its target.
	NeedsAcceptRisk bool `json:"needs_accept_risk,omitempty"`

	State State `json:"state"`
	// Epoch is that of the executor that wrote last.
	Epoch int64 `json:"epoch,omitempty"`
	// Failure says why a failed plan ended.
	Failure  string    `json:"failure,omitempty"`
	Proposed time.Time `json:"proposed"`
	// WriteID is unique for each write, so that a lost answer is resolved by
	// reading back.
	WriteID string `json:"write_id"`

	// Revision is that of the plan's own key; it is not stored in the value.
	Revision int64 `json:"-"`
}

// Current returns the first step that is not done, or nil.
func (p *Plan) Current() *Step {
	for i := range p.Steps {
		if p.Steps[i].State != StepDone {
			return &p.Steps[i]
		}
	}
	return nil
}

// LastStarted returns the latest step that has started and is not undone, or
// nil: the next one to undo.
func (p *Plan) LastStarted() *Step {
	for i := len(p.Steps) - 1; i >= 0; i-- {
		state := p.Steps[i].State
		if state == StepRunning || state == StepDone {
			return &p.Steps[i]
		}
	}
	return nil
}

// PastReturn says that a step without return has started.
func (p *Plan) PastReturn() bool {
	for _, s := range p.Steps {
		if s.NoReturn && s.State != StepPending {
			return true
		}
	}
	return false
}

// clone returns a copy whose steps can be changed without touching p.
func (p *Plan) clone() *Plan {
	c := *p
	c.Steps = append([]Step(nil), p.Steps...)
	return &c
}
