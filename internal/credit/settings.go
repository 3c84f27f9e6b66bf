package credit

import (
	"cmp"
	"time"
)

// Settings are the times and bounds of the exchange. Zero fields take the
// defaults.
type Settings struct {
	// LeaseTime is how long a grant lasts.
	LeaseTime time.Duration
	// Renew is the time between two asks to one owner.
	Renew time.Duration
	// Urgent is the shortest time between two asks, whichever their owners, that
	// go out before their time because requests wait and no slot is left. With few
	// owners it is half of that.
	Urgent time.Duration
	// LowShare is the part of a limit that nodes keep between them for requests
	// less urgent than those of others, so that every class goes on.
	LowShare float64
	// Owners is the number of owners of one upstream's replicas with which one
	// node works.
	Owners int
	// Prepaid is the number of slots of each replica held beyond those in use.
	Prepaid int
}

// The defaults of Settings.
const (
	DefaultLeaseTime = 15 * time.Second
	DefaultRenew     = 5 * time.Second
	DefaultUrgent    = time.Second / 3
	DefaultLowShare  = 0.1
	DefaultOwners    = 8
	DefaultPrepaid   = 2
)

// maxReplicas bounds the replicas that one owner keeps books on.
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
