// Package rounds runs a step at an interval, and a clean-up less often. Exchanges
// between nodes are driven by it. It holds no state.
package rounds
