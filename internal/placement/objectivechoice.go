package placement

import (
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

// ObjectiveChoice describes, for the log, the part of a choice that follows from the objective.
type ObjectiveChoice struct {
	// LateProbability is the probability that the first event comes after the objective, and
	// PauseProbability that the stream pauses for too long.
	LateProbability, PauseProbability float64
	// HomeLateProbability is LateProbability of the replica from which cached parts are copied, and
	// Moved whether it is higher than that of the chosen one.
	HomeLateProbability float64
	Moved               bool
	// ShortTarget is the number of requests with short prompts per replica from which the sides
	// follow; zero: it does not depend on pauses.
	ShortTarget float64
}

// newObjectiveChoice is called with the lock held. It returns nil if objectives are disregarded.
func (u *upstream) newObjectiveChoice(now time.Time, r *Request, d *decision) *ObjectiveChoice {
	o := u.objective
	if o == nil || r.PromptTokens == 0 {
		return nil
	}
	c := &ObjectiveChoice{
		LateProbability:  u.lateProbability(r, d.state, r.PromptTokens-d.cached),
		PauseProbability: u.pauseProbability(r, d.state), ShortTarget: o.shortTarget,
	}
	if d.source != nil {
		uncached := r.PromptTokens - d.source.cache.cachedTokens(now, r.Shared)
		c.HomeLateProbability = u.lateProbability(r, d.source, uncached)
		if c.Moved = c.HomeLateProbability > c.LateProbability; c.Moved {
			o.moves.Add(1)
		}
	}
	return c
}

// RegisterObjectiveMetrics registers counters of the choices by objective.
func (p *Placer) RegisterObjectiveMetrics(registry prometheus.Registerer) {
	registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{
		Name: "trestle_objective_moves_total",
		Help: "Requests sent to another replica than the one with their prompt cached because that one was expected to be late.",
	}, func() float64 { return float64(p.objectiveMoves.Load()) }))
}
