package capacity

// Fleet is a size to work costs out for.
type Fleet struct {
	Nodes             int
	Replicas          int
	Workspaces        int
	Models            int
	Tiers             int
	Regions           int
	Zones             int
	RequestsPerSecond float64
	TokensPerSecond   float64
	ChangesPerDay     float64
	// UnrepeatablePart is the part of the requests that are calls which may
	// not be repeated. It is an assumption.
	UnrepeatablePart float64
}

const secondsPerDay = 86400

// Target returns the size that the design is decided by.
func Target() Fleet {
	return Fleet{
		Nodes: 360, Replicas: 2100, Workspaces: 11000, Models: 8, Tiers: 8, Regions: 6, Zones: 17,
		RequestsPerSecond: 9900, TokensPerSecond: 4.5e6, ChangesPerDay: 4800,
		UnrepeatablePart: 0.01,
	}
}

// NodesPerRegion is the mean number of nodes in a region.
func (f Fleet) NodesPerRegion() float64 { return float64(f.Nodes) / float64(f.Regions) }

// ReplicasPerRegion is the mean number of replicas in a region.
func (f Fleet) ReplicasPerRegion() float64 { return float64(f.Replicas) / float64(f.Regions) }

// RequestsPerNode is the mean number of requests a second at a node.
func (f Fleet) RequestsPerNode() float64 { return f.RequestsPerSecond / float64(f.Nodes) }

// TokensPerNode is the mean number of tokens a second through a node.
func (f Fleet) TokensPerNode() float64 { return f.TokensPerSecond / float64(f.Nodes) }

// TokensPerRequest is the mean length of an answer.
func (f Fleet) TokensPerRequest() float64 { return f.TokensPerSecond / f.RequestsPerSecond }

// ChangesPerSecond is the mean rate of configuration changes.
func (f Fleet) ChangesPerSecond() float64 { return f.ChangesPerDay / secondsPerDay }

// UnrepeatablePerSecond is the rate of calls that may not be repeated.
func (f Fleet) UnrepeatablePerSecond() float64 { return f.RequestsPerSecond * f.UnrepeatablePart }

// Allowance is what a node may spend on control.
type Allowance struct {
	// Core is a part of one core.
	Core           float64
	Bytes          float64
	BytesPerSecond float64
}

// NodeAllowance returns what is allowed at the target size.
func NodeAllowance() Allowance {
	return Allowance{Core: 0.049, Bytes: 32e6, BytesPerSecond: 8e3}
}
