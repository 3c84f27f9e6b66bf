package boottime

import "golang.org/x/sys/unix"

// Clock returns the current instant. Tests give one of their own.
type Clock func() Instant

// Now reads the system's boot-time clock.
func Now() Instant {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Every Linux since 2.6.39 has this clock: without it no age can be
		// trusted, and a node must not serve on a guess.
		panic("boottime: " + err.Error())
	}
	return Instant(t.Nano())
}
