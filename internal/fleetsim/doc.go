// Package fleetsim plays a fleet in discrete time for tests of decisions: engines
// with batches, prefix caches and priorities, nodes that decide with what they know,
// news between them that come late, and callers who come back when they are told to.
// The decisions are those of the product, packages placement and overload; all else
// is a model, and time and chance come from a seed.
//
// It is not used in production.
package fleetsim
