package order

import (
	"fmt"
	"time"
)

// LeaseTiming holds the time limits that keep the orders of an old and a new lease holder
// apart at engines that ignore fencing.
type LeaseTiming struct {
	// LeaseTTL is the duration of the pool's lease as granted by the platform.
	LeaseTTL time.Duration
	// ClockError is the maximum difference between two clocks that measure LeaseTTL.
	ClockError time.Duration
	// LongestOrder is the maximum time from the last check of an order until it takes effect
	// at the engine. It is also the timeout of one order.
	LongestOrder time.Duration
	// StopMargin is how long before the end of the lease the holder stops sending orders.
	StopMargin time.Duration
	// DetectPause is the maximum time between two heartbeats; a longer gap counts as a
	// process pause.
	DetectPause time.Duration
}

// DefaultLeaseTiming returns the timing for a lease of the given duration.
func DefaultLeaseTiming(ttl time.Duration) LeaseTiming {
	return LeaseTiming{
		LeaseTTL:     ttl,
		ClockError:   ttl / 20,
		LongestOrder: 2 * time.Second,
		StopMargin:   ttl / 4,
		DetectPause:  ttl / 10,
	}
}

// Check returns an error if the times can't keep two holders apart.
func (t LeaseTiming) Check() error {
	if t.LeaseTTL <= 0 || t.LongestOrder <= 0 || t.DetectPause <= 0 {
		return fmt.Errorf("order: lease of %s, longest order of %s and pause of %s must be above zero", t.LeaseTTL, t.LongestOrder, t.DetectPause)
	}
	if t.StopMargin < t.ClockError || t.StopMargin >= t.LeaseTTL {
		return fmt.Errorf("order: stop margin %s must be at least the clock error %s and below the lease %s", t.StopMargin, t.ClockError, t.LeaseTTL)
	}
	return nil
}

// handOverWait returns how long a new holder waits before its first order to an engine that
// ignores fencing. The platform may have ended the old lease early, so its full duration
// is counted from the new grant.
func (t LeaseTiming) handOverWait() time.Duration {
	return t.LeaseTTL + t.ClockError + t.LongestOrder
}
