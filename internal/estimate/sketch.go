package estimate

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// relativeAccuracy is the maximum relative error of a quantile.
	relativeAccuracy = 0.05
	// maxBins covers lengths from 1 to over 100,000 tokens at this accuracy.
	maxBins = 128
	// generationTime is how long a sketch is written before it is rotated; it is then read for as
	// long again.
	generationTime = 5 * time.Minute
	// minCount is the number of answers that a sketch needs before its quantiles are used.
	minCount = 10
	// refreshCount is the number of new answers after which the quantiles are recomputed.
	refreshCount = 16
)

// Quantiles that a sketch precomputes.
const (
	Median = iota
	P75
	P90
	numQuantiles
)

var quantileLevels = [numQuantiles]float64{0.5, 0.75, 0.9}

// sketch is a quantile sketch of answer lengths in two generations, of which only the current
// one is written.
type sketch struct {
	current  *ddsketch.DDSketch
	previous *ddsketch.DDSketch
	// startedAt is the start of the current generation.
	startedAt time.Time
	// sinceRefresh is the number of answers since the quantiles were last recomputed.
	sinceRefresh int
	// count is the number of answers in both generations.
	count          float64
	quantileValues [numQuantiles]float64
}

func newDDSketch() *ddsketch.DDSketch {
	m, err := mapping.NewLogarithmicMapping(relativeAccuracy)
	if err != nil {
		panic(err) // accuracy is a constant within (0, 1)
	}
	return ddsketch.NewDDSketch(m, store.NewCollapsingLowestDenseStore(maxBins), store.NewCollapsingLowestDenseStore(1))
}

func newSketch(now time.Time) *sketch {
	return &sketch{current: newDDSketch(), startedAt: now}
}

// add records a length of at least 1.
func (s *sketch) add(now time.Time, length float64) {
	s.rotate(now)
	// Add fails only for lengths outside the mapping's range, which can be ignored.
	if s.current.Add(length) != nil {
		return
	}
	s.sinceRefresh++
	s.count++
	if s.sinceRefresh >= refreshCount || s.count <= minCount {
		s.refreshQuantiles()
	}
}

// rotate starts a new generation once the current one is generationTime old.
func (s *sketch) rotate(now time.Time) {
	age := now.Sub(s.startedAt)
	if age < generationTime {
		return
	}
	s.previous = s.current
	if age >= 2*generationTime {
		s.previous = nil
	}
	s.current = newDDSketch()
	s.startedAt = now
	s.refreshQuantiles()
}

// refreshQuantiles recomputes quantileValues from both generations.
func (s *sketch) refreshQuantiles() {
	s.sinceRefresh = 0
	both := s.current
	if s.previous != nil {
		both = s.current.Copy()
		// MergeWith fails only for different mappings.
		_ = both.MergeWith(s.previous)
	}
	s.count = both.GetCount()
	values, err := both.GetValuesAtQuantiles(quantileLevels[:])
	if err != nil {
		return
	}
	for i, value := range values {
		s.quantileValues[i] = math.Round(value)
	}
}

// trusted reports whether the sketch has enough answers for its quantiles to be used.
func (s *sketch) trusted() bool { return s.count >= minCount }
