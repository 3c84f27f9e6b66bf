// Package streamoriginrpc carries the records of package streamorigin between nodes. Messages have the
// time left instead of times, as clocks of nodes cannot be compared. It holds no state.
package streamoriginrpc
