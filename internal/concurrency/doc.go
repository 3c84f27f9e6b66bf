// Package concurrency learns how many requests a node should run at a replica,
// from the time between tokens: while that stays near what an idle replica
// takes, the limit grows; once it rises, the replica is past its knee and the
// limit shrinks.
//
// It is pure and holds soft state, a few numbers for each replica; losing it
// means to start again from the configured slots. A platform outage does not
// touch it.
package concurrency
