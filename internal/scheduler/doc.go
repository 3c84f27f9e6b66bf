// Package scheduler orders the waiting requests of one pool: by tier, then by slack, with
// weighted fair queueing across the workspaces of a class. Classes whose oldest request has
// waited too long get a minimum share of the slots.
//
// It does no I/O, takes the time as a parameter, and keeps its state in memory, in proportion
// to the number of waiting requests.
package scheduler
