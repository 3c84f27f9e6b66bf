package load

import (
	"math"
	"math/rand/v2"
)

// Lengths is a log-normal distribution of lengths, in words.
type Lengths struct {
	Median float64 `yaml:"median,omitempty" validate:"gte=0,lte=100000"`
	// Sigma is the spread; zero makes all alike.
	Sigma float64 `yaml:"sigma,omitempty" validate:"gte=0,lte=3"`
	// Max bounds the lengths. Default 20 x Median.
	Max int `yaml:"max,omitempty" validate:"gte=0,lte=100000"`
}

// maxOverMedian is the default bound.
const maxOverMedian = 20

// draw returns a length of at least 1, or 0 where there is no distribution.
func (l Lengths) draw(random *rand.Rand) int {
	if l.Median == 0 {
		return 0
	}
	longest := l.Max
	if longest == 0 {
		longest = int(maxOverMedian * l.Median)
	}
	length := int(math.Round(l.Median * math.Exp(l.Sigma*random.NormFloat64())))
	return min(max(1, length), max(1, longest))
}
