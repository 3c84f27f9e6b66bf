// Package service imitates a plain service such as a ledger: it runs any call
// and answers with what it ran, with the faults of package fault.
//
// It holds soft state, in memory only: the list of runs, bounded by
// runs.DefaultBound. It never talks to the platform.
package service
