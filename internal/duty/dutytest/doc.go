// Package dutytest has in-memory fakes for tests of duties: the platform's store and the
// platform side of the duties' calls, both with faults, and checks of fencing.
package dutytest
