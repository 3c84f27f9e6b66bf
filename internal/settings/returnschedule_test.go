package settings

import (
	"strings"
	"testing"
)

// Guards against a misspelt field that is taken silently, and against a section that has no effect.
func TestReturnScheduleHasNoFields(t *testing.T) {
	template, values := deployTemplate(t)
	good := render(t, template, values)
	if s, err := Parse([]byte(good + "  return_schedule: {}\n")); err != nil || s.PassThrough.ReturnSchedule == nil {
		t.Errorf("error %v", err)
	}
	if _, err := Parse([]byte(good + "  return_schedule: {spread: 3s}\n")); err == nil || !strings.Contains(err.Error(), "pass_through.return_schedule.spread") {
		t.Errorf("error %v, want one that names the field", err)
	}
}
