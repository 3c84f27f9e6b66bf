// Package lease holds the platform's named leases for a process: it acquires
// and renews them and says, by this process's own clock, whether they may
// still be acted on.
//
// The lease is hard state in the platform; here is one Term for each lease
// held, with its epoch. In a platform outage a term ends by itself, Margin
// before the platform's lease can end, and nothing is held until the platform
// answers again. A process that was paused drops its terms when it wakes.
package lease
