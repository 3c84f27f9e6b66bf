// Package usage counts the requests of each workspace that begin to run, in windows of
// fleet time, and reports the sums over all nodes to the platform once per window.
//
// A node's counts never decrease and are identified by the run of its process, so merging
// them is idempotent. The node that holds the duty gathers the counts, writes them to the
// platform's store every few seconds, and stores a window's final sums before it reports
// them, so that a later holder sends the same report.
//
// Counts are in memory until they are written: a node crash loses the last second or two.
// While the store is unavailable no window is finalized; nodes keep their counts for
// several windows.
package usage
