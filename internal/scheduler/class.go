package scheduler

import "time"

// Class is what the order needs to know of a service level.
type Class struct {
	Name string
	// Tier is the priority; 0 is the highest.
	Tier int
	// MinShare is the part of the slots, from 0 to 1, that the class gets
	// however busy others are. Zero takes DefaultMinShare.
	MinShare float64
	// MinShareAfter is how long the class's oldest request waits before the
	// share is due. Zero: the share is never due.
	MinShareAfter time.Duration
}

// DefaultMinShare is the part of the slots of a class that names none: small,
// but enough that every class is served in the end.
const DefaultMinShare = 0.01

func (c Class) minShare() float64 {
	if c.MinShare <= 0 {
		return DefaultMinShare
	}
	return c.MinShare
}
