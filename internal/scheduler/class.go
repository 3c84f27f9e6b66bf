package scheduler

import "time"

// Class is the scheduling configuration of a service class.
type Class struct {
	Name string
	// Tier is the priority; 0 is the highest.
	Tier int
	// MinShare is the fraction of the slots, from 0 to 1, that the class gets regardless of
	// the load of other classes. Zero means DefaultMinShare.
	MinShare float64
	// MinShareAfter is how long the class's oldest request must wait before the minimum share
	// applies; zero disables the share.
	MinShareAfter time.Duration
}

// DefaultMinShare is the minimum share of a class that sets none. It is small but prevents
// starvation.
const DefaultMinShare = 0.01

func (c Class) minShare() float64 {
	if c.MinShare <= 0 {
		return DefaultMinShare
	}
	return c.MinShare
}
