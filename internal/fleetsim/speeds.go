package fleetsim

import (
	"math/rand/v2"
	"time"

	"galenatrestle/internal/placement"
)

// Speeds is how engines differ in speed.
type Speeds struct {
	// InTurn is the speeds of the engines relative to the model, in turn; none: all have 1.
	InTurn []float64
	// Noise slows each engine down for a part of the time.
	Noise Noise
	// Slowdowns slow some engines down for a while.
	Slowdowns []Slowdown
	// Heard says that nodes hear of the events after the first.
	Heard bool
	// Learned are the options by which nodes learn speeds; nil: they do not.
	Learned *placement.ReplicaSpeeds
}

// Noise makes an engine Times slower in a Fraction of the intervals, drawn for each engine.
type Noise struct {
	Every    time.Duration
	Fraction float64
	Times    float64
}

// Slowdown makes the first Engines Times slower.
type Slowdown struct {
	At, For time.Duration
	Engines int
	Times   float64
}

func (s *Slowdown) covers(engine int, now time.Duration) bool {
	return engine < s.Engines && now >= s.At && now < s.At+s.For
}

// timesSlower returns by what the time of a step of the engine is multiplied.
func (s *Speeds) timesSlower(seed uint64, engine int, now time.Duration) float64 {
	times := 1.0
	if len(s.InTurn) > 0 {
		times /= s.InTurn[engine%len(s.InTurn)]
	}
	if s.Noise.Every > 0 {
		interval := uint64(now / s.Noise.Every)
		if rand.New(rand.NewPCG(seed, uint64(engine)<<32|interval)).Float64() < s.Noise.Fraction {
			times *= s.Noise.Times
		}
	}
	for i := range s.Slowdowns {
		if s.Slowdowns[i].covers(engine, now) {
			times *= s.Slowdowns[i].Times
		}
	}
	return times
}

// hear tells the node of the answer's events after the first.
func (j *job) hear(now time.Duration) {
	for len(j.events) > 0 && j.events[0] <= now {
		if j.events[0] != j.firstAt {
			j.attempt.DataReceived(epoch.Add(j.events[0]))
		}
		j.events = j.events[1:]
	}
}

// slowedShare returns the new work that slowed engines got per second from a second after they
// turned slow, by that before.
func (f *fleet) slowedShare() float64 {
	before, after := 0.0, 0.0
	for _, s := range f.scenario.Speeds.Slowdowns {
		for _, e := range f.engines[:s.Engines] {
			for _, at := range e.arrivedAt {
				switch {
				case at < s.At && at >= s.At-s.For:
					before += 1 / s.For.Seconds()
				case at >= s.At+time.Second && at < s.At+s.For:
					after += 1 / (s.For - time.Second).Seconds()
				}
			}
		}
	}
	if before == 0 {
		return 0
	}
	return after / before
}
