// Package moveplan carries out the steps of a move's plan: it is the
// intent.Actor of the steps from offer-move to settle. It runs in the process
// that drives the moves, under the same lease. It holds no state: the move's
// record has the plan's id. In a platform outage the plan stands still.
package moveplan
