package router

import "time"

type runningRequest struct {
	item    *item
	replica *replicaState
	// cached is the fraction of the prompt's prefixes sent to the replica before.
	cached     float64
	boundAt    time.Time
	firstToken time.Time
	lastToken  time.Time
	tokens     int
}
