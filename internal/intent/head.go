package intent

import (
	"slices"
	"time"
)

// MaxActive bounds the plans that run at a time.
const MaxActive = 32

// Change says who changed the head last, and how.
type Change struct {
	PlanID   string    `json:"plan_id"`
	Operator string    `json:"operator"`
	Summary  string    `json:"summary"`
	At       time.Time `json:"at"`
}

// head is the value of the head key: the confirmed plans that are not final.
type head struct {
	Active  []string `json:"active"`
	Last    Change   `json:"last"`
	WriteID string   `json:"write_id"`
}

func (h *head) has(id string) bool { return slices.Contains(h.Active, id) }

// with returns a head that also runs the plan.
func (h *head) with(plan *Plan, operator string, now time.Time) *head {
	return &head{
		Active: append(slices.Clone(h.Active), plan.ID),
		Last:   Change{PlanID: plan.ID, Operator: operator, Summary: plan.Intent.Summary(), At: now},
	}
}

// without returns a head that no longer runs the plan.
func (h *head) without(plan *Plan, now time.Time) *head {
	return &head{
		Active: slices.DeleteFunc(slices.Clone(h.Active), func(id string) bool { return id == plan.ID }),
		Last:   Change{PlanID: plan.ID, Operator: plan.Operator, Summary: plan.Intent.Summary() + " ended as " + string(plan.State), At: now},
	}
}
