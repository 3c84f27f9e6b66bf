package fleetsim

import "time"

// Scenario is a fleet, its load and what befalls it.
type Scenario struct {
	Nodes   int
	Engines int
	Model   EngineModel
	Classes []Class
	Length  time.Duration
	// NewsEvery is the time between two exchanges of a node with the others.
	NewsEvery time.Duration
	// Hubs says that nodes hear of each other by the sums of hubs, as in a large fleet.
	Hubs bool
	// Bursts multiply a class's load for a while.
	Bursts []Burst
	// Crashes take engines away.
	Crashes []Crash
	// RateLimits have engines name rates.
	RateLimits []RateLimit
	// Copies says that engines copy shared parts from each other.
	Copies bool
	// PlacesUntold keeps from the nodes how many requests an engine runs at once.
	PlacesUntold bool
	// SeeAll has nodes look at all engines for each request.
	SeeAll bool
	// Workspaces are those of the callers; empty: there are none.
	Workspaces []Workspace
	// FairAdmission has nodes divide the engines by workspace.
	FairAdmission bool
	// Returns has nodes schedule the returns of refused callers.
	Returns bool
	// Ungated lets every request in.
	Ungated bool
	// Speeds is how the engines differ in speed.
	Speeds Speeds
	// Zones is what distance between zones means; nil: nothing.
	Zones *ZoneModel
	// MissCost has the nodes choose by objective and pause; zero: they do not.
	MissCost time.Duration
	Seed     uint64
}

// Burst multiplies the load of a class.
type Burst struct {
	Class    string
	From, To time.Duration
	Times    float64
}

// Crash takes so many engines away for a while.
type Crash struct {
	At, For time.Duration
	Engines int
}

// RateLimit has so many engines name a rate, in requests a second, from a time on.
type RateLimit struct {
	At        time.Duration
	Engines   int
	PerSecond float64
}

// times is by what the class's load is multiplied at the time.
func (s *Scenario) times(class string, now time.Duration) float64 {
	times := 1.0
	for _, b := range s.Bursts {
		if b.Class == class && now >= b.From && now < b.To {
			times *= b.Times
		}
	}
	return times
}
