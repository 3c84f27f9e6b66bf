package boottime

import "time"

// Instant is a point on the boot-time clock, in nanoseconds since the VM
// started. Instants of two VMs cannot be compared; pass ages between them.
type Instant int64

// Add returns the instant d later.
func (t Instant) Add(d time.Duration) Instant { return t + Instant(d) }

// Sub returns the time from u to t.
func (t Instant) Sub(u Instant) time.Duration { return time.Duration(t - u) }
