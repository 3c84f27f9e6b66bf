// Package lease acquires and renews the platform's named leases for a process
// and decides, by the process's own clock, whether they may still be acted on.
//
// Each lease held is a Term with its epoch; the lease itself is hard state in
// the platform. In a platform outage a term ends without a call, Margin before
// the platform's lease can end. A term also ends after a pause of the process.
package lease
