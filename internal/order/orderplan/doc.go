// Package orderplan carries out the steps of plans that order engines: load,
// unload and change of role. It runs in the process that holds the duty's
// lease, beside the order.Sender that observes it. It holds no state; in a
// platform outage the plan stands still.
package orderplan
