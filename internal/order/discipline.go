package order

import (
	"fmt"
	"time"
)

// LeaseTiming holds the times that keep an old and a new holder of a pool's
// lease apart at engines that ignore fencing.
type LeaseTiming struct {
	// LeaseTTL is the length of the pool's lease as the platform grants it.
	LeaseTTL time.Duration
	// ClockError is the most by which two clocks that measure LeaseTTL differ.
	ClockError time.Duration
	// LongestOrder is the longest time from an order's last check to its taking
	// effect at the engine; it is also the time limit of one order.
	LongestOrder time.Duration
	// StopMargin is how long before the end of its lease a holder stops.
	StopMargin time.Duration
	// DetectPause is the longest gap between two looks at the clock that does
	// not count as a pause.
	DetectPause time.Duration
}

// DefaultLeaseTiming returns the discipline for a lease of the given length.
func DefaultLeaseTiming(ttl time.Duration) LeaseTiming {
	return LeaseTiming{
		LeaseTTL:     ttl,
		ClockError:   ttl / 20,
		LongestOrder: 2 * time.Second,
		StopMargin:   ttl / 4,
		DetectPause:  ttl / 10,
	}
}

// Check returns an error where the times don't keep two holders apart.
func (d LeaseTiming) Check() error {
	if d.LeaseTTL <= 0 || d.LongestOrder <= 0 || d.DetectPause <= 0 {
		return fmt.Errorf("order: lease of %s, longest order of %s and pause of %s must be above zero", d.LeaseTTL, d.LongestOrder, d.DetectPause)
	}
	if d.StopMargin < d.ClockError || d.StopMargin >= d.LeaseTTL {
		return fmt.Errorf("order: stop margin %s must be at least the clock error %s and below the lease %s", d.StopMargin, d.ClockError, d.LeaseTTL)
	}
	return nil
}

// handOverWait is how long a new holder waits before its first order to an
// engine that ignores fencing: the old lease may have been taken from its
// holder before its time, so it counts in full from the new grant.
func (d LeaseTiming) handOverWait() time.Duration {
	return d.LeaseTTL + d.ClockError + d.LongestOrder
}
