package router

import "time"

// running is a request bound to a replica.
type running struct {
	request    Request
	class      *classState
	replica    *replicaState
	boundAt    time.Time
	firstToken time.Time
	tokens     int
}
