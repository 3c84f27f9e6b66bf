// Package circuit keeps a replica that fails at once from drawing all requests:
// by its short queue it would look like the best choice.
//
// It holds soft state of a few words a replica and is pure; a platform outage
// does not touch it.
package circuit
