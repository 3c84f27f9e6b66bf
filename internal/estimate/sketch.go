package estimate

import (
	"math"
	"time"

	"github.com/DataDog/sketches-go/ddsketch"
	"github.com/DataDog/sketches-go/ddsketch/mapping"
	"github.com/DataDog/sketches-go/ddsketch/store"
)

const (
	// accuracy is the sketches' relative error.
	accuracy = 0.05
	// maxBins covers lengths from 1 to over 100,000 tokens.
	maxBins = 128
	// generation is how long a sketch is filled before it is only read, for
	// as long again.
	generation = 5 * time.Minute
	// minCount is the number of lengths from which a sketch is trusted.
	minCount = 10
	// refresh is how many new lengths make the kept quantiles out of date.
	refresh = 16
)

// The quantiles that a sketch keeps ready.
const (
	Median = iota
	P75
	P90
	quantiles
)

var levels = [quantiles]float64{0.5, 0.75, 0.9}

// sketch holds lengths in two generations, the filled one and the one before.
type sketch struct {
	current  *ddsketch.DDSketch
	previous *ddsketch.DDSketch
	began    time.Time
	fresh    int
	count    float64
	kept     [quantiles]float64
}

func newDDSketch() *ddsketch.DDSketch {
	m, err := mapping.NewLogarithmicMapping(accuracy)
	if err != nil {
		panic(err) // accuracy is a constant within (0, 1)
	}
	return ddsketch.NewDDSketch(m, store.NewCollapsingLowestDenseStore(maxBins), store.NewCollapsingLowestDenseStore(1))
}

func newSketch(now time.Time) *sketch {
	return &sketch{current: newDDSketch(), began: now}
}

// add takes in a length of at least 1.
func (s *sketch) add(now time.Time, length float64) {
	s.age(now)
	// Add fails for lengths out of the mapping's range alone, and these are
	// of no use to an estimate.
	if s.current.Add(length) != nil {
		return
	}
	s.fresh++
	s.count++
	if s.fresh >= refresh || s.count <= minCount {
		s.recount()
	}
}

func (s *sketch) age(now time.Time) {
	age := now.Sub(s.began)
	if age < generation {
		return
	}
	s.previous = s.current
	if age >= 2*generation {
		s.previous = nil
	}
	s.current = newDDSketch()
	s.began = now
	s.recount()
}

// recount works out the kept quantiles.
func (s *sketch) recount() {
	s.fresh = 0
	both := s.current
	if s.previous != nil {
		both = s.current.Copy()
		// Both have the same mapping, so that MergeWith cannot fail.
		_ = both.MergeWith(s.previous)
	}
	s.count = both.GetCount()
	values, err := both.GetValuesAtQuantiles(levels[:])
	if err != nil {
		return
	}
	for i, value := range values {
		s.kept[i] = math.Round(value)
	}
}

func (s *sketch) trusted() bool { return s.count >= minCount }
