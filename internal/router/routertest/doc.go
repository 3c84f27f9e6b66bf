// Package routertest drives real router pools against fake engines in discrete
// time, to measure decisions and to compare them. It is a fixture for decisions
// alone: it has no network and none of the nodes' protocols.
//
// Everything is seeded: the same Scenario gives the same Outcome.
package routertest
