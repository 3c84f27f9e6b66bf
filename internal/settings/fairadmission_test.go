package settings

import (
	"strings"
	"testing"
	"time"

	"galenatrestle/internal/config"
)

// Guards against a section that is on by default, and against bad values that are taken silently.
func TestFairAdmission(t *testing.T) {
	parse := func(section string) (*FairAdmission, error) {
		s, err := Parse(minimalSettings(section))
		if err != nil {
			return nil, err
		}
		return s.PassThrough.FairAdmission, nil
	}
	if f, err := parse(""); err != nil || f != nil {
		t.Errorf("without the section: %+v, %v", f, err)
	}
	if f, err := parse("  fair_admission: {}\n"); err != nil || f == nil || f.Window != defaultFairWindow || *f.MinShare != defaultMinShare {
		t.Errorf("empty section: %+v, %v", f, err)
	}
	if f, err := parse("  fair_admission: {window: 3s, min_share: 1}\n"); err != nil || f.Window != config.Duration(3*time.Second) || *f.MinShare != 1 {
		t.Errorf("given values: %+v, %v", f, err)
	}
	for section, want := range map[string]string{
		"{window: 1ms}":     `pass_through.fair_admission.window: value "1ms": must be between 500ms and 1m`,
		"{window: -2s}":     `pass_through.fair_admission.window: value "-2s"`,
		"{min_share: 0}":    `pass_through.fair_admission.min_share: value "0": must be above 0 and at most 1`,
		"{min_share: 1.5}":  `pass_through.fair_admission.min_share: value "1.5"`,
		"{min_share: .nan}": `pass_through.fair_admission.min_share: value "NaN"`,
		"{least_share: 1}":  "least_share",
	} {
		if _, err := parse("  fair_admission: " + section + "\n"); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%s: error %v, want %q in it", section, err, want)
		}
	}
}
