package capacity

import (
	"errors"
	"math"
)

// Point is one measured value at one size.
type Point struct {
	Size  float64
	Value float64
}

// Scale says against what a line is straight.
type Scale string

// The scales.
const (
	// Linear lines are straight against the size.
	Linear Scale = "size"
	// Log2 lines are straight against the size's logarithm to base 2.
	Log2 Scale = "log2(size)"
)

func (s Scale) of(size float64) float64 {
	if s == Log2 {
		return math.Log2(size)
	}
	return size
}

// Line is a least-squares line through points.
type Line struct {
	Scale     Scale
	Intercept float64
	Slope     float64
	// Residual is the root mean square of the points' distances from the
	// line, as a part of their mean value.
	Residual float64
}

// ErrTooFewSizes is returned where the points have fewer than two sizes.
var ErrTooFewSizes = errors.New("capacity: a line needs points at two sizes")

// FitLine returns the least-squares line through the points.
func FitLine(scale Scale, points []Point) (Line, error) {
	var n, meanX, meanY float64
	for _, p := range points {
		n++
		meanX += scale.of(p.Size)
		meanY += p.Value
	}
	meanX /= n
	meanY /= n
	var xx, xy float64
	for _, p := range points {
		dx := scale.of(p.Size) - meanX
		xx += dx * dx
		xy += dx * (p.Value - meanY)
	}
	if n < 2 || xx == 0 {
		return Line{}, ErrTooFewSizes
	}
	line := Line{Scale: scale, Slope: xy / xx}
	line.Intercept = meanY - line.Slope*meanX
	line.Residual = line.residual(points, meanY)
	return line, nil
}

func (l Line) residual(points []Point, mean float64) float64 {
	sum := 0.0
	for _, p := range points {
		d := p.Value - l.At(p.Size)
		sum += d * d
	}
	if mean == 0 {
		return 0
	}
	return math.Sqrt(sum/float64(len(points))) / math.Abs(mean)
}

// At returns the line's value at the size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*l.Scale.of(size) }
