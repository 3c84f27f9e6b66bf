// Package runs is the ground truth of a stand-in: what it truly ran, for tests
// to compare with what callers were told.
//
// A List holds the newest runs in memory, up to a fixed number, and totals of
// all.
package runs
