// Package balancer chooses among the replicas that have a free slot.
//
// It does no I/O and keeps bounded state in memory per replica. Losing it costs some prefill
// and delays the detection of slow replicas.
package balancer
