package replicaspeed

import "math"

const (
	// maxRatio bounds the ratio of a single observation, and of what other nodes report, so that
	// one wrong value or one node that is slow itself has a limited effect.
	maxRatio = 8.0
	// maxNodeWeight bounds the weight of one node's observations of a replica. It keeps the sums
	// of a small fleet responsive, and limits what a node with wrong values can do.
	maxNodeWeight = 12.0
	// minReportedWeight is the weight from which observations are worth reporting to other nodes.
	minReportedWeight = 0.5
)

// maxLog is the logarithm of maxRatio.
var maxLog = math.Log(maxRatio)

// Observed is a decayed sum of observations: their weight, and the weighted logarithms of the
// expected time divided by the observed one.
type Observed struct {
	Weight float64
	LogSum float64
}

// Plus returns the sum of both.
func (o Observed) Plus(other Observed) Observed {
	return Observed{Weight: o.Weight + other.Weight, LogSum: o.LogSum + other.LogSum}
}

// Minus subtracts part. The two may come from reports of different age: what is left has no
// negative weight and a bounded mean.
func (o Observed) Minus(part Observed) Observed {
	return Observed{Weight: o.Weight - part.Weight, LogSum: o.LogSum - part.LogSum}.Bounded()
}

// Bounded returns the sum with a weight of at least zero and a mean ratio between 1/8 and 8.
func (o Observed) Bounded() Observed {
	if !(o.Weight > 0) || math.IsNaN(o.LogSum) { // Not a number is not above zero.
		return Observed{}
	}
	limit := maxLog * o.Weight
	return Observed{Weight: o.Weight, LogSum: min(max(o.LogSum, -limit), limit)}
}

// BoundedNode is Bounded for the observations of a single node, whose weight is limited.
func (o Observed) BoundedNode() Observed {
	o = o.Bounded()
	if o.Weight > maxNodeWeight {
		o = o.scaled(maxNodeWeight / o.Weight)
	}
	return o
}

// Significant reports whether the observations are worth reporting to other nodes.
func (o Observed) Significant() bool { return o.Weight >= minReportedWeight }

func (o Observed) scaled(factor float64) Observed {
	return Observed{Weight: factor * o.Weight, LogSum: factor * o.LogSum}
}

// mean returns the mean logarithm; zero without observations.
func (o Observed) mean() float64 {
	if o.Weight <= 0 {
		return 0
	}
	return o.LogSum / o.Weight
}
