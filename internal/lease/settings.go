package lease

import (
	"fmt"
	"time"
)

// Settings are the times of a lease.
type Settings struct {
	// TTL is the length of the lease as the platform grants it.
	TTL time.Duration
	// Margin is how long before the end of TTL the holder stops, counted from
	// the sending of the newest answered call. It covers the error of the two
	// clocks' rates and the time to stop what runs.
	Margin time.Duration
	// RenewEvery is the time from one renewal to the next.
	RenewEvery time.Duration
	// RetryEvery is the time from a failed renewal to the next.
	RetryEvery time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// PauseBound is the longest gap between two looks at the clock that is not
	// a pause.
	PauseBound time.Duration
	// TryEvery is the mean time between the tries of one that waits for the
	// lease; each is drawn from half to one and a half of it.
	TryEvery time.Duration
}

// DefaultSettings returns settings for a lease of the given length. A term
// outlives failed renewals for about half of it.
func DefaultSettings(ttl time.Duration) Settings {
	return Settings{
		TTL:         ttl,
		Margin:      ttl / 4,
		RenewEvery:  ttl / 4,
		RetryEvery:  ttl / 16,
		CallTimeout: ttl / 8,
		PauseBound:  ttl / 8,
		TryEvery:    ttl / 4,
	}
}

// looksPerPause is how often the clock is looked at within PauseBound.
const looksPerPause = 4

// lookEvery is the time between two looks at the clock.
func (s Settings) lookEvery() time.Duration { return s.PauseBound / looksPerPause }

// usable is how long a grant may be acted on, from the sending of its call.
func (s Settings) usable() time.Duration { return s.TTL - s.Margin }

// Check returns an error that names the setting that keeps a lease from being
// held safely.
func (s Settings) Check() error {
	for name, value := range map[string]time.Duration{
		"TTL": s.TTL, "Margin": s.Margin, "RenewEvery": s.RenewEvery, "RetryEvery": s.RetryEvery,
		"CallTimeout": s.CallTimeout, "PauseBound": s.PauseBound, "TryEvery": s.TryEvery,
	} {
		if value < time.Millisecond {
			return fmt.Errorf("lease: %s is %s, below a millisecond", name, value)
		}
	}
	if s.RenewEvery+s.CallTimeout >= s.usable() {
		return fmt.Errorf("lease: a renewal after %s of up to %s comes too late for a lease usable for %s", s.RenewEvery, s.CallTimeout, s.usable())
	}
	return nil
}
