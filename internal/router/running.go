package router

import "time"

// running is a request bound to a replica.
type running struct {
	item       *item
	replica    *replicaState
	boundAt    time.Time
	firstToken time.Time
	// lastToken is when the pool was last told of tokens.
	lastToken time.Time
	tokens    int
}
