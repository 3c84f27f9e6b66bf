package fleetsim

import "time"

// Slowdowns make engines slow for a while, each on its own.
type Slowdowns struct {
	// Every is the length of the intervals, Share the part of them in which an engine is slow.
	Every time.Duration
	Share float64
	// Times is by how much it is slower then.
	Times float64
}

// slow draws which engines are slow in the interval that begins.
func (f *fleet) slow(now time.Duration) {
	s := &f.scenario.Slowdowns
	if s.Every == 0 || now%s.Every != 0 {
		return
	}
	for _, e := range f.engines {
		e.slowBy = 0
		if f.random.Float64() < s.Share {
			e.slowBy = s.Times
		}
	}
}

// model returns how the engine of the index works.
func (s *Scenario) model(index int) EngineModel {
	m := s.Model
	if len(s.Speeds) == 0 {
		return m
	}
	speed := s.Speeds[index%len(s.Speeds)]
	m.TokensPerMS *= speed
	m.StepMS /= speed
	m.PerRequestMS /= speed
	return m
}
