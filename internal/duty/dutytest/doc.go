// Package dutytest has stand-ins for tests of duties: the platform's store and what takes
// the duties' calls, both in memory, with faults, and a judge of what the calls must keep.
package dutytest
