package replicaspeed

// Class is a coarse speed of a replica at present, with hysteresis, for logs. Grade is the lasting one,
// by which replicas are ordered.
type Class int

// The classes.
const (
	Usual Class = iota
	Slow
	Fast
)

// String implements fmt.Stringer.
func (c Class) String() string { return [...]string{"usual", "slow", "fast"}[c] }

// The factors at which the class changes. The bounds to enter and to leave a class differ, so
// that noise does not change it over and over.
const (
	enterSlow, leaveSlow = 0.62, 0.75
	enterFast, leaveFast = 1.5, 1.3
)

// next returns the class of a replica with the factor that had this class.
func (c Class) next(factor float64) Class {
	switch {
	case factor < enterSlow || (c == Slow && factor < leaveSlow):
		return Slow
	case factor > enterFast || (c == Fast && factor > leaveFast):
		return Fast
	default:
		return Usual
	}
}
