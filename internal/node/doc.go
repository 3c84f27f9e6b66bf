// Package node puts the parts of one entry VM's process together: the callers'
// side, the operators' side, the peers and the duties. Each part has a file of
// its own here that creates, starts and stops it.
package node
