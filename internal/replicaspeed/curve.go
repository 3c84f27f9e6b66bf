package replicaspeed

import "math"

const (
	// curvePoints is the number of points of a curve, at loads of 0, 0.5 and 1 of the range.
	curvePoints = 3
	// The relative step of an update falls from firstStep to lastStep, as in package enginespeed.
	firstStep = 0.3
	lastStep  = 0.03
	// stepDecay is the number of observations after which the step has halved.
	stepDecay = 10.0
)

// curve is the expected time in milliseconds as a function of a replica's load, learned for all
// replicas of an upstream. It follows the median, so that replicas that stall have little effect.
type curve struct {
	ms [curvePoints]float64
	// count is the number of observations near each point.
	count [curvePoints]float64
}

// at returns the expected time at the load, a fraction of the range; zero without observations.
func (c *curve) at(load float64) float64 {
	i, part := position(load)
	return (1-part)*c.ms[i] + part*c.ms[i+1]
}

// observe moves the points next to the load towards an observed time.
func (c *curve) observe(load, ms float64) {
	if c.ms[0] == 0 {
		for i := range c.ms {
			c.ms[i] = ms
		}
	}
	i, part := position(load)
	direction := 1.0
	if ms < c.at(load) {
		direction = -1
	}
	c.move(i, direction*(1-part))
	c.move(i+1, direction*part)
}

func (c *curve) move(point int, direction float64) {
	step := max(firstStep/(1+c.count[point]/stepDecay), lastStep)
	c.ms[point] *= math.Exp(step * direction)
	c.count[point] += math.Abs(direction)
}

// position returns the point below the load and the part of the way to the next one.
func position(load float64) (point int, part float64) {
	x := min(max(load, 0), 1) * (curvePoints - 1)
	point = min(int(x), curvePoints-2)
	return point, x - float64(point)
}
