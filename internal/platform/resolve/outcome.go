package resolve

// Outcome is what is known of a write.
type Outcome int

const (
	// Unknown says that the platform stayed out of reach: the write may or
	// may not have taken effect, or may still do so.
	Unknown Outcome = iota
	// Applied says that the write certainly took effect.
	Applied
	// NotApplied says that the write certainly did not take effect and never
	// will.
	NotApplied
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Applied:
		return "applied"
	case NotApplied:
		return "not applied"
	default:
		return "unknown"
	}
}
