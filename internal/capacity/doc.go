// Package capacity measures how the cost of each role grows, with the role's
// own package, and works the cost at a fleet's size out from the slopes. It is
// behind docs/CAPACITY.md and `trestle-load capacity`.
//
// Each role has a file with measuring functions. They run the real code in this
// process at small sizes, bounded in time and memory, and return slopes with
// their residuals. There is no model of a cluster in it: what cannot be measured
// in one process is marked as an estimate on the page.
//
// It holds no state between measurements. It never talks to a platform other
// than the in-memory one, and nothing of a running node depends on it.
package capacity
