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
	// CallWhole asks for the whole table.
	CallWhole
	// CallRegion goes from a relay to a contact in another region.
	CallRegion
)

// Call is a message that the table wants sent. The caller reports Answered or
// Failed.
type Call struct {
	Kind CallKind
	// Target is the member's name; it may be empty for seeds and contacts.
	Target  string
	Address string
	Request *membershipv1.SyncRequest
}

// IndirectCall asks a helper to probe a target that this node cannot reach.
// The caller reports Reached after the first that succeeds, or Unreached once
// all have failed.
type IndirectCall struct {
	Helper  string
	Address string
	Request *membershipv1.ProbeRequest
}
