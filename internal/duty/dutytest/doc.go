// Package dutytest has in-memory fakes for tests of duties: the platform's store and the
// platform side of the duties' calls, both with fault injection, and checks of the fencing tokens.
package dutytest
