package route

import "time"

// Limits bound what a caller may send. Zero fields set no bound.
type Limits struct {
	MaxBodyBytes int64
	// IdleTimeout is how long a kept connection may be idle.
	IdleTimeout time.Duration
}
