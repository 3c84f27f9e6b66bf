// Package rounds runs the periodic exchanges between nodes.
package rounds
