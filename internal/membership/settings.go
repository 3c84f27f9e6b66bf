package membership

import (
	"cmp"
	"time"
)

// Limits on stored state.
const (
	// MaxMembers limits the members of this region, including dead ones.
	MaxMembers = 1024
	// MaxRegions limits the regions, including this one.
	MaxRegions = 64
	// MaxNotes limits the stored notes.
	MaxNotes = 4096
	// MaxNoteBytes limits a note's value.
	MaxNoteBytes = 256
	maxSeeds     = 1024
	// maxContacts is also the number of relays of a region.
	maxContacts = 3
)

// Settings are the protocol's intervals and limits. Zero fields take the defaults.
type Settings struct {
	// ProbeInterval is the time between two probes sent by one node.
	ProbeInterval time.Duration
	// ProbeTimeout limits a direct probe; indirect probes get twice as long.
	ProbeTimeout time.Duration
	// IndirectProbes is the number of helpers for a failed probe.
	IndirectProbes int
	// SuspicionTimeout is the time that a suspect has to refute in a region of up to
	// ten members. It grows with the logarithm of their number.
	SuspicionTimeout time.Duration
	// StatusRefresh is the longest time between two statuses of this node.
	StatusRefresh time.Duration
	// RegionInterval is the time between two calls from one relay to other regions.
	RegionInterval time.Duration
	// RegionByZone maps availability zones to regions, to identify instances in
	// other regions. It may be empty.
	RegionByZone map[string]string
}

// Defaults of Settings.
const (
	DefaultProbeInterval    = time.Second
	DefaultProbeTimeout     = 400 * time.Millisecond
	DefaultIndirectProbes   = 3
	DefaultSuspicionTimeout = 3 * time.Second
	DefaultStatusRefresh    = 5 * time.Second
	DefaultRegionInterval   = 5 * time.Second
)

// Limits on the content of one message.
const (
	maxUpdates  = 6
	maxStatuses = 5
	// maxSummaries applies to messages within the region.
	maxSummaries    = 2
	maxMessageNotes = 8
	// A change is sent retransmitFactor * log2(members) times by each node.
	retransmitFactor = 3
)

// Protocol constants that are not configurable.
const (
	// Dead members are kept so that outdated gossip does not add them again.
	tombstoneTTL = time.Minute
	seedInterval = 2 * time.Second
	// settleTime is how long a table must be unchanged before a full sync, and the
	// shortest time between two.
	settleTime = 4 * time.Second
	// fullSyncMismatches is the number of consecutive hash mismatches before a full
	// sync.
	fullSyncMismatches = 3
	// A gap of pauseThreshold between ticks means that the process was paused.
	pauseThreshold = 3 * time.Second
	// summaryRefresh is the longest time between two summaries of this region.
	summaryRefresh = 30 * time.Second
	// summaryTTL is how long another region's summary stays valid.
	summaryTTL = 2 * time.Minute
	// maxAwareness limits Lifeguard's local health awareness: a node whose own
	// probes fail probes less often and extends its suspicion timeouts.
	maxAwareness = 4
	// loadSteps is the resolution of load on the wire.
	loadSteps = 64
	// minLoadChange, in steps, is sent without waiting for StatusRefresh.
	minLoadChange = 4
	// minSummaryLoadChange is the same for a region's mean load.
	minSummaryLoadChange = 8
	// pushFanout is the number of members to which a change is pushed, and the number
	// of seeds that a node without other members calls at once.
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
