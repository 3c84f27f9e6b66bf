// Package faultrun runs a whole deployment in one process under a schedule of
// random faults drawn from a seed, offers a mixed open-loop load to it, and
// compares what callers were told with what the stand-ins ran.
//
// The same seed gives the same schedule and the same requests, not the same
// interleaving: goroutines and the network order themselves anew in each run.
//
// It holds one record for each try of a request, bounded by the schedule's
// length and rates, for the time of a run. It calls the platform only through
// the nodes of the deployment that it runs.
package faultrun
