package settings

import (
	"cmp"
	"slices"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/yamldoc"
)

// Duties is what exactly one node at a time does for the whole fleet.
type Duties struct {
	// Address takes the calls.
	Address string `yaml:"address" validate:"required,listen_address"`
	// Kinds are the duties that the platform takes. Others than the known ones are
	// somebody else's, and left out.
	Kinds []DutyKind `yaml:"kinds" validate:"required"`
	// Lease is how long a holder that fell silent keeps the others from the duties.
	// Default 3s.
	Lease config.Duration `yaml:"lease,omitempty" validate:"min=0"`
	// UsageWindow is the length of the windows by which usage is told, UsageDelay the
	// time after a window's end within which it is. Defaults 5s and 10s.
	UsageWindow config.Duration `yaml:"usage_window,omitempty" validate:"min=0"`
	UsageDelay  config.Duration `yaml:"usage_delay,omitempty" validate:"min=0"`
}

// DutyKind names a duty.
type DutyKind string

// The duties.
const (
	// Metering tells the platform what each workspace used.
	Metering DutyKind = "metering"
	// Autoscale orders replicas.
	Autoscale DutyKind = "autoscale"
)

// Has says whether the duty is one of the platform's. It may be called on nil.
func (d *Duties) Has(kind DutyKind) bool { return d != nil && slices.Contains(d.Kinds, kind) }

// The defaults of Duties.
const (
	defaultDutyLease   = config.Duration(3 * time.Second)
	defaultUsageWindow = config.Duration(5 * time.Second)
	defaultUsageDelay  = config.Duration(10 * time.Second)
)

func (d *Duties) fillDefaults() {
	if d == nil {
		return
	}
	d.Lease = cmp.Or(d.Lease, defaultDutyLease)
	d.UsageWindow = cmp.Or(d.UsageWindow, defaultUsageWindow)
	d.UsageDelay = cmp.Or(d.UsageDelay, defaultUsageDelay)
}

// checkDuties notes times that are too short to work with; zero takes the default.
func checkDuties(source *yamldoc.Source, d *Duties) {
	if d == nil {
		return
	}
	for _, field := range []struct {
		name  string
		value config.Duration
	}{
		{"pass_through.duties.lease", d.Lease},
		{"pass_through.duties.usage_window", d.UsageWindow},
		{"pass_through.duties.usage_delay", d.UsageDelay},
	} {
		if field.value != 0 && field.value < leastTime {
			source.Add(field.name, field.value.String(), "must be at least "+leastTime.String())
		}
	}
}
