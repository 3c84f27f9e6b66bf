package quotashare

import (
	"cmp"
	"time"
)

// Settings are the times and bounds of the exchange. Zero fields take the
// defaults.
type Settings struct {
	// Interval is the time between two looks at the demand, and the shortest
	// between two reports of one workspace.
	Interval time.Duration
	// Contended is the time between two reports of a workspace whose demands
	// come near its quota.
	Contended time.Duration
	// Renew is the time between two reports of any other workspace.
	Renew time.Duration
	// LeaseTime is how long a share and a demand last without renewal.
	LeaseTime time.Duration
	// ContendedLease is how long at least a demand lasts without renewal where
	// the demands come near the quota.
	ContendedLease time.Duration
	// Grace is how long a share lasts after a report that got no answer.
	Grace time.Duration
	// Floor is the part of the quota that is divided evenly. A node whose demand
	// is below its part of the floor says nothing.
	Floor float64
	// BytesPerSecond bounds what a node sends, estimated, over a long time.
	BytesPerSecond float64
}

// The defaults of Settings.
const (
	DefaultInterval       = time.Second
	DefaultContended      = 2 * time.Second
	DefaultRenew          = 90 * time.Second
	DefaultLeaseTime      = 5 * time.Minute
	DefaultContendedLease = 15 * time.Second
	DefaultGrace          = 5 * time.Second
	DefaultFloor          = 0.1
	DefaultBytesPerSecond = 450
)

const (
	// contendedPart is the part of the quota from which on demands count as near
	// it.
	contendedPart = 0.7
	// settleTime is how long an owner that may be new gives even shares only: it
	// does not know of the others' demands yet.
	settleTime = 3 * time.Second
	// maxWorkspaces bounds the workspaces that one owner keeps books on.
	maxWorkspaces = 1 << 14
	// maxReports bounds the reports of one message.
	maxReports = 1024
)

func (s Settings) withDefaults() Settings {
	s.Interval = cmp.Or(s.Interval, DefaultInterval)
	s.Contended = cmp.Or(s.Contended, DefaultContended)
	s.Renew = cmp.Or(s.Renew, DefaultRenew)
	s.LeaseTime = cmp.Or(s.LeaseTime, DefaultLeaseTime)
	s.ContendedLease = cmp.Or(s.ContendedLease, DefaultContendedLease)
	s.Grace = cmp.Or(s.Grace, DefaultGrace)
	s.Floor = cmp.Or(s.Floor, DefaultFloor)
	s.BytesPerSecond = cmp.Or(s.BytesPerSecond, DefaultBytesPerSecond)
	return s
}
