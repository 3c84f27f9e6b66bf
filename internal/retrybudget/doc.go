// Package retrybudget limits the retries that a deployment sends to an upstream.
// All nodes share one limit: a ratio of the requests plus a fixed allowance.
// Each node may spend the ratio of its own requests and an equal share of the
// allowance, so nodes need not communicate.
//
// Counts are kept in memory for one window and are lost on restart. Nodes use only
// part of the limit, and a smaller part in the first window after their start, so that
// the fleet stays within the limit while nodes restart.
package retrybudget
