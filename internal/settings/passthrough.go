package settings

import (
	"cmp"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/yamldoc"
)

// PassThrough makes the process serve a deployment whose routes are given by
// host and path prefix, written by an operator's tool to the platform's store,
// and whose callers ask which addresses to use.
type PassThrough struct {
	// ReadyListen is where the platform asks whether the node is ready.
	ReadyListen string `yaml:"ready_listen" validate:"required,listen_address"`
	// ResolveListen is where callers ask which addresses to use. Empty: this
	// node does not tell them.
	ResolveListen string `yaml:"resolve_listen,omitempty" validate:"omitempty,listen_address"`
	// RevokeAfter is how long after its revocation a key may still be used.
	// Zero: not bounded.
	RevokeAfter config.Duration `yaml:"revoke_after,omitempty" validate:"min=0"`
	// ApplyWithin is how soon a configuration is in force at all nodes.
	// Default 2s.
	ApplyWithin config.Duration `yaml:"apply_within,omitempty" validate:"min=0"`
	// LeaveWithin is how soon after it is known to be leaving a replica gets no more
	// requests from any node. Default 2s.
	LeaveWithin config.Duration `yaml:"leave_within,omitempty" validate:"min=0"`
	// Grace is the time from the stop signal to the kill. Default 8s.
	Grace config.Duration `yaml:"grace,omitempty" validate:"min=0"`
	// ResolveTTL is how long callers keep the addresses. Default 2s.
	ResolveTTL config.Duration `yaml:"resolve_ttl,omitempty" validate:"min=0"`
	// MemoryMB is the process's memory. Zero: not bounded.
	MemoryMB float64 `yaml:"memory_mb,omitempty" validate:"min=0"`
	// ProcessorShare is the part of a core that the process gets. Of the nodes of
	// an availability zone, those with the most add up for the others. Zero: not
	// known.
	ProcessorShare float32 `yaml:"processor_share,omitempty" validate:"min=0"`
	// FirstStart says that the whole system starts for the first time: its nodes wait
	// some seconds for what the seeds read of the platform's store before they read it
	// themselves.
	FirstStart bool        `yaml:"first_start,omitempty"`
	Retries    RetryBudget `yaml:"retry_budget,omitempty"`
	// Duties is what one node at a time does for the whole fleet; nil: nothing.
	Duties *Duties `yaml:"duties,omitempty"`
	// ReplicaSpeeds are the estimates of replica speeds; nil: off.
	ReplicaSpeeds *ReplicaSpeeds `yaml:"replica_speeds,omitempty"`
	// ZoneTraffic decides which requests leave their availability zone; nil: other zones have a small
	// constant cost.
	ZoneTraffic *ZoneTraffic `yaml:"zone_traffic,omitempty"`
	// ObjectivePriority is nil where calls that will be late do not yield to others of their tier.
	ObjectivePriority *ObjectivePriority `yaml:"objective_priority,omitempty"`
	// FairAdmission divides upstreams that are short of capacity by workspace; nil: they are not divided.
	FairAdmission *FairAdmission `yaml:"fair_admission,omitempty"`
	// ServiceAdmission is nil if calls of plain services have no expected queue time.
	ServiceAdmission *ServiceAdmission `yaml:"service_admission,omitempty"`
	// ReturnSchedule is nil if the returns of refused callers are not scheduled.
	ReturnSchedule *ReturnSchedule `yaml:"return_schedule,omitempty"`
	// ObjectivePlacement is nil where choices of replicas disregard objectives.
	ObjectivePlacement *ObjectivePlacement `yaml:"objective_placement,omitempty"`
}

// RetryBudget bounds the attempts that all nodes together add to the load of
// one upstream.
type RetryBudget struct {
	// Ratio of added attempts to requests. Default 0.1.
	Ratio float64 `yaml:"ratio,omitempty" validate:"min=0,max=10"`
	// Window over which both are counted. Default 10s.
	Window config.Duration `yaml:"window,omitempty" validate:"min=0"`
	// Allowance is the added attempts in a window beyond the ratio. Default 10.
	Allowance float64 `yaml:"allowance,omitempty" validate:"min=0"`
}

// The defaults of PassThrough: the platform's usual bounds.
const (
	defaultApplyWithin    = config.Duration(2 * time.Second)
	defaultLeaveWithin    = config.Duration(2 * time.Second)
	defaultGrace          = config.Duration(8 * time.Second)
	defaultResolveTTL     = config.Duration(2 * time.Second)
	defaultRetryRatio     = 0.1
	defaultRetryWindow    = config.Duration(10 * time.Second)
	defaultRetryAllowance = 10
)

// leastTime is the shortest of the times by which the process divides its work.
const leastTime = config.Duration(time.Second)

// checkPassThrough notes times that are too short to work with; zero takes the
// default.
func checkPassThrough(source *yamldoc.Source, p *PassThrough) {
	if p == nil {
		return
	}
	for _, field := range []struct {
		name  string
		value config.Duration
	}{
		{"pass_through.grace", p.Grace},
		{"pass_through.retry_budget.window", p.Retries.Window},
	} {
		if field.value != 0 && field.value < leastTime {
			source.Add(field.name, field.value.String(), "must be at least "+leastTime.String())
		}
	}
	checkDuties(source, p.Duties)
	checkReplicaSpeeds(source, p.ReplicaSpeeds)
	checkZoneTraffic(source, p.ZoneTraffic)
	checkFairAdmission(source, p.FairAdmission)
	checkObjectivePriority(source, p.ObjectivePriority)
	checkObjectivePlacement(source, p.ObjectivePlacement)
}

func (p *PassThrough) fillDefaults() {
	if p == nil {
		return
	}
	p.ApplyWithin = cmp.Or(p.ApplyWithin, defaultApplyWithin)
	p.LeaveWithin = cmp.Or(p.LeaveWithin, defaultLeaveWithin)
	p.Grace = cmp.Or(p.Grace, defaultGrace)
	p.ResolveTTL = cmp.Or(p.ResolveTTL, defaultResolveTTL)
	p.Duties.fillDefaults()
	p.ReplicaSpeeds.fillDefaults()
	p.ZoneTraffic.fillDefaults()
	p.FairAdmission.fillDefaults()
	p.ObjectivePriority.fillDefaults()
	p.ServiceAdmission.fillDefaults()
	p.ObjectivePlacement.fillDefaults()
	p.Retries.Ratio = cmp.Or(p.Retries.Ratio, defaultRetryRatio)
	p.Retries.Window = cmp.Or(p.Retries.Window, defaultRetryWindow)
	p.Retries.Allowance = cmp.Or(p.Retries.Allowance, defaultRetryAllowance)
}
