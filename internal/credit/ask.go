package credit

import "time"

// Ask is one node's request for slots of one replica. It carries the full state:
// repeating it is harmless, and a later Ask replaces it.
type Ask struct {
	Replica string
	// Limit is the replica's concurrency limit as known to the node.
	Limit int
	// Used is the number of slots in use at the node.
	Used int
	// Want is the number of slots in use plus those needed by the requests
	// waiting in the most urgent tier.
	Want int
	// Extra is the number of further slots the node can use, for less urgent
	// requests or as a reserve.
	Extra int
	// Waiting reports whether requests for the upstream are queued at the node,
	// for any of its replicas. Such an ask has priority over one without waiting
	// requests.
	Waiting bool
	// Tier and Slack belong to the most urgent waiting request; tier 0 is the
	// highest.
	Tier  int
	Slack time.Duration
}

// slackMargin is the slack difference up to which two asks of a tier have equal
// priority, because slots are idle while they move between nodes.
const slackMargin = 5 * time.Second

// before reports whether a has priority over b.
func (a Ask) before(b Ask) bool {
	if a.Waiting != b.Waiting {
		return a.Waiting
	}
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	return a.Slack < b.Slack-slackMargin
}

// Grant is the number of slots of a replica that a node may use, including those
// in use. A node above it starts no request there until enough have ended.
type Grant struct {
	Replica string
	Slots   int
	For     time.Duration
}
