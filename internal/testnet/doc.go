// Package testnet serves HTTP handlers on in-memory connections, for tests that
// run in a synctest bubble. Only tests import it; it holds no state.
package testnet
