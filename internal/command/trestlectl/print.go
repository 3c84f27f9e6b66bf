package trestlectl

import (
	"strings"
	"time"

	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
)

// timeLayout is how times are printed, in UTC.
const timeLayout = "2006-01-02T15:04:05Z"

func formatTime(unixMs int64) string {
	if unixMs == 0 {
		return "-"
	}
	return time.UnixMilli(unixMs).UTC().Format(timeLayout)
}

func planState(state operatorv1.PlanState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), "PLAN_STATE_"))
}

func (c *console) printPlan(plan *operatorv1.Plan) {
	c.printf("plan %s: %s by %s, worked out on revision %d, %s\n", plan.GetId(), plan.GetKind(), plan.GetAuthor(),
		plan.GetBaseRevision(), planState(plan.GetState()))
	if plan.GetDetail() != "" {
		c.printf("  %s\n", plan.GetDetail())
	}
	for _, step := range plan.GetSteps() {
		expected := time.Duration(step.GetExpectedDurationMs()) * time.Millisecond
		c.printf("  step %d: %s (%s, expected %s)", step.GetNumber(), step.GetDescription(), step.GetState(), expected)
		if step.GetPointOfNoReturn() {
			c.printf(", no return from here")
		}
		if step.GetDetail() != "" {
			c.printf(": %s", step.GetDetail())
		}
		c.printf("\n")
	}
	c.printChanges("  change: ", plan.GetChanges())
	for _, risk := range plan.GetRisks() {
		c.printf("  risk: %s: %s\n", risk.GetSubject(), risk.GetMessage())
	}
	if plan.GetNeedsAcceptRisk() {
		c.printf("  confirming needs --accept-risk\n")
	}
}

func (c *console) printChanges(prefix string, changes []*operatorv1.Change) {
	for _, change := range changes {
		line := strings.TrimSpace(change.GetAction() + " " + change.GetWhat() + " " + change.GetName())
		c.printf("%s%s\n", prefix, line)
		for _, field := range change.GetFields() {
			c.printf("%s  %s: %s -> %s\n", strings.Repeat(" ", len(prefix)), field.GetField(), field.GetBefore(), field.GetAfter())
		}
	}
}
