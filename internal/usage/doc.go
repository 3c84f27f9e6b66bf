// Package usage counts the requests of each workspace that begin to run, by windows of
// the fleet's time, and tells the platform the sums of all nodes once for each window.
//
// A node's counts only grow and are named after the run of its process, so that taking
// them in twice changes nothing. The node that holds the duty gathers them, writes them to
// the platform's store every few seconds, and fixes a window's sums there before it sends
// them: every later holder sends exactly the same.
//
// Counts are soft state until they are written; what a node loses with its power within a
// second or two is missing from the sums. In an outage of the store nothing is fixed;
// nodes keep their counts for several windows.
package usage
