// Package replicaspeed estimates how fast each replica is relative to the others of its upstream,
// from what this node observes and what other nodes report.
//
// An observation is the logarithm of the expected time divided by the time that was seen. The
// estimate is their weighted mean. The weights decay with the half-life, and with few
// observations the estimate shrinks towards 1. The weighted mean of the logarithms of an upstream
// is taken as the origin, so that the factors cannot drift together while the expected times are
// learned from the same answers.
//
// The state is soft: a few numbers per replica, guarded by the caller's lock. The package starts
// no goroutine and reads no clock.
package replicaspeed
