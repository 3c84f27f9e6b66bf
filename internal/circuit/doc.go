// Package circuit implements a circuit breaker for replicas. Without it, a replica that fails
// immediately would attract all requests because its queue is short.
package circuit
