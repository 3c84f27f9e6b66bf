package settings

import (
	"strings"
	"testing"
)

// Guards against a bad queue length that is taken silently, and against a section that has no effect.
func TestServiceAdmissionIsChecked(t *testing.T) {
	s, err := Parse(minimalSettings("  service_admission: {}\n"))
	if err != nil || s.PassThrough.ServiceAdmission == nil || s.PassThrough.ServiceAdmission.ShortQueue != defaultShortQueue {
		t.Errorf("error %v, want a queue of %d", err, defaultShortQueue)
	}
	_, err = Parse(minimalSettings("  service_admission: {short_queue: -3}\n"))
	if want := `pass_through.service_admission.short_queue: value "-3"`; err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("error %v, want %q in it", err, want)
	}
}
