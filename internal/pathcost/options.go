package pathcost

import "time"

// Options size a measurement.
type Options struct {
	// Rate is the requests a second, open loop.
	Rate float64
	// Duration is how long each of the two ways is loaded.
	Duration time.Duration
	// Tokens is the length of each answer.
	Tokens int
	// Engines is the number of engine stand-ins.
	Engines int
	// TokenInterval is the engines' time between tokens.
	TokenInterval time.Duration
}

// WithDefaults fills in 2,000 requests a second for 5 s, 16 tokens at 5 ms
// from 8 engines.
func (o Options) WithDefaults() Options {
	if o.Rate == 0 {
		o.Rate = 2000
	}
	if o.Duration == 0 {
		o.Duration = 5 * time.Second
	}
	if o.Tokens == 0 {
		o.Tokens = 16
	}
	if o.Engines == 0 {
		o.Engines = 8
	}
	if o.TokenInterval == 0 {
		o.TokenInterval = 5 * time.Millisecond
	}
	return o
}
