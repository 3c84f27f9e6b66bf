package membership

import membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"

// CallKind says what a call is for.
type CallKind int

// The kinds of calls.
const (
	// CallProbe is a heartbeat; no answer leads to indirect probes.
	CallProbe CallKind = iota
	// CallPush brings urgent news.
	CallPush
	// CallSeed goes to an address not yet known as a member.
	CallSeed
	// CallFullSync asks for the whole table.
	CallFullSync
	// CallRegion goes from a relay to a contact in another region.
	CallRegion
)

// Call is a message to send for the table. The caller then passes the outcome to
// HandleResponse or HandleFailure.
type Call struct {
	Kind CallKind
	// Target is the member's name; it may be empty for seeds and contacts.
	Target  string
	Address string
	Request *membershipv1.SyncRequest
}

// IndirectCall asks a helper to probe a target that this node cannot reach.
// The caller calls HandleIndirectSuccess after the first success, or
// HandleUnreachable once all have failed.
type IndirectCall struct {
	Helper  string
	Address string
	Request *membershipv1.ProbeRequest
}
