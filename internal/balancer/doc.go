// Package balancer chooses among the replicas that have a free slot. A policy
// is one method; the pool gives it what is known of each candidate.
//
// It is pure. It holds soft state: of each replica a running average of the
// time between tokens and the prefixes it was given last, both bounded; losing
// it costs some prefill and a slower notice of stragglers. A platform outage
// does not touch it.
package balancer
