package settings

import (
	"strings"
	"testing"
)

// Guards against a bad queue length that is taken silently, and against a section that has no effect.
func TestServiceAdmissionIsChecked(t *testing.T) {
	template, values := deployTemplate(t)
	good := render(t, template, values)
	s, err := Parse([]byte(good + "  service_admission: {}\n"))
	if err != nil || s.PassThrough.ServiceAdmission == nil || s.PassThrough.ServiceAdmission.ShortQueue != defaultShortQueue {
		t.Errorf("error %v, want a queue of %d", err, defaultShortQueue)
	}
	_, err = Parse([]byte(good + "  service_admission: {short_queue: -3}\n"))
	if want := `pass_through.service_admission.short_queue: value "-3"`; err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want %q in it", err, want)
	}
}
