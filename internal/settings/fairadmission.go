package settings

import (
	"cmp"
	"strconv"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/yamldoc"
)

// FairAdmission divides upstreams that are short of capacity by workspace.
type FairAdmission struct {
	// Window is the time constant over which the use of workspaces is compared. Default 2s.
	Window config.Duration `yaml:"window,omitempty"`
	// MinShare is the least part of the allowed queue time that is left to a workspace above its
	// share; above 0 and up to 1. Default 0.1.
	MinShare *float64 `yaml:"min_share,omitempty"`
}

// The defaults of FairAdmission, and the bounds of Window: within less than a few exchanges between
// nodes no use is known, and with more a workspace waits for what it used long ago.
const (
	defaultFairWindow = config.Duration(2 * time.Second)
	minFairWindow     = config.Duration(500 * time.Millisecond)
	maxFairWindow     = config.Duration(time.Minute)
	defaultMinShare   = 0.1
)

func (f *FairAdmission) fillDefaults() {
	if f == nil {
		return
	}
	f.Window = cmp.Or(f.Window, defaultFairWindow)
	if f.MinShare == nil {
		share := defaultMinShare
		f.MinShare = &share
	}
}

// checkFairAdmission notes values that cannot be used; missing ones take the default.
func checkFairAdmission(source *yamldoc.Source, f *FairAdmission) {
	if f == nil {
		return
	}
	if f.Window != 0 && (f.Window < minFairWindow || f.Window > maxFairWindow) {
		source.Add("pass_through.fair_admission.window", f.Window.String(), "must be between 500ms and 1m")
	}
	// Written so that a value that is not a number is bad too.
	if s := f.MinShare; s != nil && !(*s > 0 && *s <= 1) {
		source.Add("pass_through.fair_admission.min_share", strconv.FormatFloat(*s, 'g', -1, 64), "must be above 0 and at most 1")
	}
}
