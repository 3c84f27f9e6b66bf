// Package answer keeps the answers of a node's requests: each as a list of
// events numbered from 1, so that a caller whose connection broke can fetch
// the rest, here or through another node.
//
// It is soft state: bounded by Options.MaxBytes, in shards under a lock each,
// kept for the class's retention after the end and lost with the node. An
// answer that is still running or being read is never evicted. A platform
// outage changes nothing here.
package answer
