package capacity

// Role names a part of a node.
type Role string

// The roles.
const (
	RoleDataPath      Role = "entry node, data path"
	RoleDecisions     Role = "decisions"
	RoleMembership    Role = "membership"
	RoleConfiguration Role = "configuration spread"
	RoleClaims        Role = "claim ledger"
	RoleDuties        Role = "duties and leases"
	RoleAnswers       Role = "answer retention"
	RoleEntries       Role = "address answers"
	RoleQuarantine    Role = "quarantine"
	RoleLeaving       Role = "leaving signs"
	RoleInstances     Role = "platform's list of VMs"
	RolePeerLink      Role = "link between nodes"
	RolePlatformLink  Role = "link to the platform"
	RoleHandover      Role = "hand-over"
	RoleCredits       Role = "replica credits"
	RoleWatching      Role = "replica watching"
	RoleQuotas        Role = "quotas"
	RoleNode          Role = "whole node"
)

// Slope is how one quantity of one role grows.
type Slope struct {
	Role     Role
	Quantity string
	Unit     string
	// Against names the size.
	Against string
	Points  []Point
	Line    Line
	// Target is the size at which the fleet runs the role.
	Target float64
}

// AtTarget returns the quantity at the fleet's size.
func (s Slope) AtTarget() float64 { return s.Line.At(s.Target) }

// newSlope fits the line.
func newSlope(s Slope, scale Scale) (Slope, error) {
	line, err := FitLine(scale, s.Points)
	if err != nil {
		return Slope{}, err
	}
	s.Line = line
	return s, nil
}

// fitAll fits straight lines for all.
func fitAll(slopes ...Slope) ([]Slope, error) { return fitOn(Linear, slopes...) }

// fitOn fits lines on the scale for all.
func fitOn(scale Scale, slopes ...Slope) ([]Slope, error) {
	fitted := make([]Slope, 0, len(slopes))
	for _, s := range slopes {
		f, err := newSlope(s, scale)
		if err != nil {
			return nil, err
		}
		fitted = append(fitted, f)
	}
	return fitted, nil
}

// add appends a point.
func (s *Slope) add(size int, value float64) {
	s.Points = append(s.Points, Point{Size: float64(size), Value: value})
}
