package handover

// VerdictKind says what a node may do with a new request.
type VerdictKind string

// The verdicts.
const (
	// Serve: start it here.
	Serve VerdictKind = "serve"
	// Wait: hold it within its deadline; the set is between two sides, or this
	// node waits for a permit.
	Wait VerdictKind = "wait"
	// Relay: hand it to the other data centre.
	Relay VerdictKind = "relay"
	// NotHere: this side does not serve the set and knows no side that does.
	NotHere VerdictKind = "not-here"
)

// Verdict is a gate's answer for one request.
type Verdict struct {
	Kind VerdictKind
	// Address is where to relay to.
	Address string
}
