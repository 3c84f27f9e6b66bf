// Package retry decides what to do after a failed attempt: retry, resume from the delivered
// prefix, or refuse. It also decides when to start a second attempt in parallel (a hedge).
//
// It does no I/O, takes the time as a parameter, and keeps bounded state in memory. Losing it
// reduces the retry budget for ten seconds.
package retry
