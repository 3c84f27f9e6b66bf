package router

import "time"

type runningRequest struct {
	item    *item
	replica *replicaState
	// cachedFraction is the fraction of the prompt's prefixes that the replica had already received
	// when the request was bound.
	cachedFraction float64
	boundAt        time.Time
	firstToken     time.Time
	lastToken      time.Time
	tokens         int
}
