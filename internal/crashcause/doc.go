// Package crashcause finds what calls have in common that crash replicas: a part that prompts share, or the
// whole content of a call. No two calls with such a part need be alike.
//
// Each crash makes a suspect of every factor of the calls that ran on the replica and were not yet shown to be
// sound. A call that gets its answer clears its factors of the crashes before it. A factor is a cause if several
// replicas crashed under it, one after the other, and no other suspect was present in nearly all of these
// crashes. Where such a rival exists, only calls that have all of them are refused: whether those that have some
// but not all crash their replicas tells them apart. Crashes that a cause explains say nothing about other
// factors.
//
// Decisions take the time as an argument and start no goroutines. State is soft: a bounded number of records
// under one lock, which is not taken while there are none. Nodes exchange records by a commutative and
// idempotent merge; package edge keeps those of causes in the platform's store, so that they outlive a
// restart of all nodes. Times are wall-clock times.
package crashcause
