// Package pathcost measures what the callers' path through a node adds to a
// call straight to the engine: latency a request, processor time and
// allocations a token, in one run and one process.
package pathcost
