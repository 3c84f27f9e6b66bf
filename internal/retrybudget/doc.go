// Package retrybudget limits the retries that a deployment sends to an upstream.
// All nodes share one limit: a ratio of the requests plus a fixed allowance.
// Each node may spend the ratio of its own requests and an equal share of the
// allowance, so nodes need not communicate.
//
// Counts are kept in memory for one window and are lost on restart; the safety
// margin covers this.
package retrybudget
