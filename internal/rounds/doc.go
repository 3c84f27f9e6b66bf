// Package rounds provides the periodic loop and the client for exchanges between nodes
// that need a resource and the nodes that own it.
package rounds
