// Package drainplan carries out the steps of the plans `drain VM` and `drain
// replica`. Its actors run in the process that holds the duty's lease; they
// hold no state, and in a platform outage the plan stands still.
package drainplan
