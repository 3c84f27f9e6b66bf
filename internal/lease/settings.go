package lease

import (
	"fmt"
	"time"
)

// Settings are the durations that govern a lease.
type Settings struct {
	// TTL is the lease's time to live in the platform.
	TTL time.Duration
	// Margin is how long before the end of TTL the holder stops, where TTL counts
	// from the sending of the newest successful call. It covers clock drift and the
	// time to stop running work.
	Margin time.Duration
	// RenewEvery is the time from one renewal to the next.
	RenewEvery time.Duration
	// RetryEvery is the delay after a failed renewal.
	RetryEvery time.Duration
	// CallTimeout bounds one call to the platform.
	CallTimeout time.Duration
	// PauseBound is the longest gap between two checks of the clock that does not
	// count as a pause of the process.
	PauseBound time.Duration
	// TryEvery is the mean time between two tries to acquire the lease; each delay
	// is drawn from half to one and a half of it.
	TryEvery time.Duration
}

// DefaultSettings returns settings for a lease of the given TTL. A term
// outlasts failed renewals for about half of it.
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

// checksPerPause is the number of clock checks within PauseBound.
const checksPerPause = 4

func (s Settings) checkInterval() time.Duration { return s.PauseBound / checksPerPause }

// usable is how long a grant may be acted on after its call was sent.
func (s Settings) usable() time.Duration { return s.TTL - s.Margin }

// Check returns an error that names a setting with which a lease can't be held
// safely.
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
		return fmt.Errorf("lease: RenewEvery %s plus CallTimeout %s must be less than TTL minus Margin, %s", s.RenewEvery, s.CallTimeout, s.usable())
	}
	return nil
}
