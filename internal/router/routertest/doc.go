// Package routertest simulates router pools with fake engines in discrete time, to
// measure and compare scheduling decisions. There is no network and no node protocol.
//
// Runs are deterministic: the same Scenario gives the same Outcome.
package routertest
