package credit

import "time"

// Ask states one node's need of one replica's slots. It is a full statement:
// it may be repeated, and a later one replaces it.
type Ask struct {
	Replica string
	// Limit is the concurrency limit that the node believes in.
	Limit int
	// Used is the number of slots in use at the node.
	Used int
	// Want is the number of slots for those in use and for the requests that
	// wait in the most urgent tier.
	Want int
	// Extra is the number of further slots of use: for less urgent requests, or
	// prepaid.
	Extra int
	// Waiting tells that requests of the upstream wait at the node, be it for
	// other replicas: it then keeps its slots against less urgent ones.
	Waiting bool
	// Tier and Slack are of the most urgent request waiting; 0 is the highest
	// tier.
	Tier  int
	Slack time.Duration
}

// slackMargin is the difference of slack below which two asks of a tier are
// alike: taking slots from one for the other would leave them idle meanwhile.
const slackMargin = 5 * time.Second

// before reports whether a waiting ask comes before another.
func (a Ask) before(b Ask) bool {
	if a.Waiting != b.Waiting {
		return a.Waiting
	}
	if a.Tier != b.Tier {
		return a.Tier < b.Tier
	}
	return a.Slack < b.Slack-slackMargin
}

// Grant allows a node slots of a replica, those in use included. A node that
// uses more starts nothing new there until enough have ended.
type Grant struct {
	Replica string
	Slots   int
	For     time.Duration
}
