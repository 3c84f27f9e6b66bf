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
		c.printStep(step)
	}
	c.printChanges("  change: ", plan.GetChanges())
	for _, risk := range plan.GetRisks() {
		c.printf("  risk: %s: %s\n", risk.GetSubject(), risk.GetMessage())
	}
	if plan.GetNeedsAcceptRisk() {
		c.printf("  confirming needs --accept-risk\n")
	}
}

func (c *console) printStep(step *operatorv1.Step) {
	expected := time.Duration(step.GetExpectedDurationMs()) * time.Millisecond
	c.printf("  step %d: %s (%s, expected %s%s)", step.GetNumber(), step.GetDescription(), step.GetState(), expected, stepTimes(step))
	if step.GetPointOfNoReturn() {
		c.printf(", no return from here")
	}
	if step.GetDetail() != "" {
		c.printf(": waits: %s", step.GetDetail())
	}
	c.printf("\n")
	if len(step.GetTouches()) > 0 {
		c.printf("    touches: %s; %d requests in flight\n", strings.Join(step.GetTouches(), ", "), step.GetInFlight())
	}
	for _, left := range step.GetCapacity() {
		c.printf("    capacity: class %s on %s: %.1f slots left, %.1f needed", left.GetClass(), left.GetUpstream(), left.GetLeft(), left.GetNeeded())
		if left.GetBelowTarget() {
			c.printf(", below its target")
		}
		c.printf("\n")
	}
}

// stepTimes says when a step started and how long it took, or has taken so far.
func stepTimes(step *operatorv1.Step) string {
	if step.GetStartedAtUnixMs() == 0 {
		return ""
	}
	started := time.UnixMilli(step.GetStartedAtUnixMs())
	since := ", started " + formatTime(step.GetStartedAtUnixMs())
	if step.GetFinishedAtUnixMs() == 0 {
		return since + ", so far " + time.Since(started).Round(time.Millisecond).String()
	}
	return since + ", took " + time.UnixMilli(step.GetFinishedAtUnixMs()).Sub(started).String()
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
