package membership

import membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"

// CallKind is the purpose of a call.
type CallKind int

// The kinds of calls.
const (
	// CallProbe is a direct probe. If it gets no response, indirect probes follow.
	CallProbe CallKind = iota
	// CallPush sends urgent changes without waiting for the next probe.
	CallPush
	// CallSeed contacts an address that is not yet known as a member.
	CallSeed
	// CallFullSync requests the whole table.
	CallFullSync
	// CallRegion goes from a relay to a contact in another region.
	CallRegion
)

// Call is a message to be sent by the table's user, who passes the outcome to
// HandleResponse or HandleFailure.
type Call struct {
	Kind CallKind
	// Target is the member's name, or empty if that is not known.
	Target  string
	Address string
	Request *membershipv1.SyncRequest
}

// IndirectCall asks a helper to probe a target. The table's user calls
// HandleIndirectSuccess after the first success, or HandleUnreachable once all have
// failed.
type IndirectCall struct {
	Helper  string
	Address string
	Request *membershipv1.ProbeRequest
}
