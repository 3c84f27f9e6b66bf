package credit

import (
	"cmp"
	"time"
)

// Settings configures the exchange. Zero fields take the defaults.
type Settings struct {
	// LeaseTime is how long a grant is valid.
	LeaseTime time.Duration
	// Renew is the mean time between two regular messages to one owner.
	Renew time.Duration
	// Urgent is the minimum time between two early messages, to any owner. Early
	// messages are sent when requests wait and no slot is free. With few owners
	// the minimum is half of Urgent.
	Urgent time.Duration
	// LowShare is the fraction of a limit that nodes with less urgent requests may
	// use together while more urgent ones wait, so that no tier is starved.
	LowShare float64
	// Owners is the number of owners per upstream whose replicas one node uses.
	Owners int
	// Prepaid is the number of slots of each replica that a node requests in
	// reserve.
	Prepaid int
}

// Defaults of Settings.
const (
	DefaultLeaseTime = 15 * time.Second
	DefaultRenew     = 5 * time.Second
	DefaultUrgent    = time.Second / 3
	DefaultLowShare  = 0.1
	DefaultOwners    = 8
	DefaultPrepaid   = 2
)

// maxReplicas is the maximum number of replicas tracked by one owner; nodes get
// FairPart of any others.
const maxReplicas = 4096

func (s Settings) withDefaults() Settings {
	s.LeaseTime = cmp.Or(s.LeaseTime, DefaultLeaseTime)
	s.Renew = cmp.Or(s.Renew, DefaultRenew)
	s.Urgent = cmp.Or(s.Urgent, DefaultUrgent)
	s.LowShare = cmp.Or(s.LowShare, DefaultLowShare)
	s.Owners = cmp.Or(s.Owners, DefaultOwners)
	s.Prepaid = cmp.Or(s.Prepaid, DefaultPrepaid)
	return s
}
