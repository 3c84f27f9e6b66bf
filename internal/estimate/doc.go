// Package estimate learns what cannot be known in advance: how long answers
// are, and how fast replicas prefill and generate.
//
// It is pure and holds soft state: a bounded number of sketches (the least
// recently used workspace's is dropped first), which age so that changes are
// followed. Losing them, as at a start, means that nothing is refused by
// estimate until enough answers were seen. A platform outage does not touch it.
package estimate
