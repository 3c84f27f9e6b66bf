package router

import "time"

// running is a request bound to a replica.
type running struct {
	item    *item
	replica *replicaState
	// cached is the part of the prefixes that the replica was given before.
	cached     float64
	boundAt    time.Time
	firstToken time.Time
	// lastToken is when the pool was last told of tokens.
	lastToken time.Time
	tokens    int
}
