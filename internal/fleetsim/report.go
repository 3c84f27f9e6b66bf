package fleetsim

import "fmt"

// Report is what became of the calls.
type Report struct {
	Classes map[string]*Tally
	// Workspaces are the calls of each workspace, in the order of the scenario.
	Workspaces []Tally
	// ReadTokens is the prompt tokens that the engines read, ReadAgain those of shared
	// parts that some engine had read before, both in thousands.
	ReadTokens int
	ReadAgain  int
	// Copied is the prompt tokens that engines copied from each other, in thousands.
	Copied int
	// Busiest is the calls at the engine that got most, by the mean of all.
	Busiest float64
	// SlowedShare is the new work of slowed engines from a second after they turned slow, by
	// that before.
	SlowedShare float64
	// Zones is what left the zones, if the scenario has a ZoneModel.
	Zones ZoneTally
	// Returned counts the callers that were refused once and returned as told, Served those of them that got
	// their answer.
	Returned, Served int
}

// Tally counts the calls of one class.
type Tally struct {
	Asked, OnTime, Late, Refused, Failed int
}

// OnTimeShare is the part of the class's calls that were answered on time.
func (t *Tally) OnTimeShare() float64 {
	if t.Asked == 0 {
		return 0
	}
	return float64(t.OnTime) / float64(t.Asked)
}

// OnTimeShare is the part of all calls that were answered on time.
func (r *Report) OnTimeShare() float64 {
	var all Tally
	for _, t := range r.Classes {
		all.Add(t)
	}
	return all.OnTimeShare()
}

// String shows a line for each class.
func (t *Tally) String() string {
	return fmt.Sprintf("asked %d, on time %d, late %d, refused %d, failed %d", t.Asked, t.OnTime, t.Late, t.Refused, t.Failed)
}

// Add takes in another tally.
func (t *Tally) Add(other *Tally) {
	t.Asked += other.Asked
	t.OnTime += other.OnTime
	t.Late += other.Late
	t.Refused += other.Refused
	t.Failed += other.Failed
}

func (t *Tally) count(o outcome) {
	t.Asked++
	switch o {
	case onTime:
		t.OnTime++
	case late:
		t.Late++
	case refused:
		t.Refused++
	default:
		t.Failed++
	}
}
