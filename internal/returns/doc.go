// Package returns decides when the callers of refused calls return, and recognizes them when they do.
//
// It handles an overload in which many callers are refused at the same moment. Told the same delay, they
// returned at the same moment and were refused again. A schedule spreads their returns by the rate at
// which the upstream takes calls. A table of the calls' fingerprints, which nodes announce to each other,
// lets a caller that returns as told go before newcomers at any node.
//
// The caller passes the current time. State is in memory, bounded, and lost on restart: a caller that is
// not recognized is a newcomer.
package returns
