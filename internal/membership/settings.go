package membership

import (
	"cmp"
	"time"
)

// Bounds of the state.
const (
	// MaxMembers bounds the members of the own region, dead ones included.
	MaxMembers = 1024
	// MaxRegions bounds the summaries of other regions.
	MaxRegions = 64
	// MaxNotes bounds the notes of other packages.
	MaxNotes = 4096
	// MaxNoteBytes bounds a note's value.
	MaxNoteBytes = 256
	// maxSeeds bounds the addresses not yet known as members.
	maxSeeds = 1024
	// maxContacts bounds the contacts of one region.
	maxContacts = 3
)

// Settings are the protocol's times and bounds. Zero fields take the defaults.
type Settings struct {
	// ProbeInterval is the time between two probes by one node.
	ProbeInterval time.Duration
	// ProbeTimeout bounds a direct probe, and again the indirect ones.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of members asked to probe for this node.
	IndirectProbes int
	// SuspicionTimeout is the time a suspect has to refute, at up to ten members;
	// it grows with the logarithm of their number.
	SuspicionTimeout time.Duration
	// StatusRefresh is the longest time between two statuses of one's own.
	StatusRefresh time.Duration
	// RegionInterval is the time between two calls of a relay to another
	// region.
	RegionInterval time.Duration
	// RegionByZone names the region of each availability zone, to tell seeds of
	// other regions apart. It may be empty.
	RegionByZone map[string]string
}

// The defaults of Settings.
const (
	DefaultProbeInterval    = time.Second
	DefaultProbeTimeout     = 400 * time.Millisecond
	DefaultIndirectProbes   = 3
	DefaultSuspicionTimeout = 3 * time.Second
	DefaultStatusRefresh    = 5 * time.Second
	DefaultRegionInterval   = 5 * time.Second
)

// Shares of one message.
const (
	// maxUpdates bounds the member changes in a message.
	maxUpdates = 6
	// maxStatuses bounds the statuses in a message.
	maxStatuses = 5
	// maxSummaries bounds the region summaries in a message in the region.
	maxSummaries = 2
	// maxMessageNotes bounds the notes in a message.
	maxMessageNotes = 8
	// transmissionFactor times the logarithm of the number of members is how
	// often a change is sent on by each node.
	transmissionFactor = 3
)

// Times that no deployment needs to change.
const (
	// tombstoneTime is how long a dead member is remembered, so that old news
	// does not bring it back.
	tombstoneTime = time.Minute
	// seedInterval is the time between two probes of addresses not yet known.
	seedInterval = 2 * time.Second
	// settleTime is how long a table must be unchanged before a different
	// hash at a peer makes a node ask for the whole table.
	settleTime = 4 * time.Second
	// mismatchesToAsk is the number of peers in a row whose tables must differ.
	mismatchesToAsk = 3
	// pauseTime between two ticks means that this process was paused.
	pauseTime = 3 * time.Second
	// summaryRefresh is the longest time between two summaries of a region.
	summaryRefresh = 30 * time.Second
	// summaryTime is how long another region's summary is believed.
	summaryTime = 2 * time.Minute
	// maxAwareness bounds the slowing down of a node whose own probes fail.
	maxAwareness = 4
	// loadSteps is the number of steps in which load is sent.
	loadSteps = 64
	// loadChange is the change of load, in steps, that is told at once.
	loadChange = 4
	// summaryLoadChange is the same for the mean of a region.
	summaryLoadChange = 8
	// pushFanout is the number of members told at once of urgent news.
	pushFanout = 3
)

func (s Settings) withDefaults() Settings {
	s.ProbeInterval = cmp.Or(s.ProbeInterval, DefaultProbeInterval)
	s.ProbeTimeout = cmp.Or(s.ProbeTimeout, DefaultProbeTimeout)
	s.SuspicionTimeout = cmp.Or(s.SuspicionTimeout, DefaultSuspicionTimeout)
	s.StatusRefresh = cmp.Or(s.StatusRefresh, DefaultStatusRefresh)
	s.RegionInterval = cmp.Or(s.RegionInterval, DefaultRegionInterval)
	if s.IndirectProbes == 0 {
		s.IndirectProbes = DefaultIndirectProbes
	}
	return s
}
