package service

import "time"

// Options describe one service replica.
type Options struct {
	// Name is the replica's name.
	Name string
	// Latency is how long each run takes.
	Latency time.Duration
	// RestartTime is how long a crashed service takes to be back. Default 1s.
	RestartTime time.Duration
}

const defaultRestartTime = time.Second
