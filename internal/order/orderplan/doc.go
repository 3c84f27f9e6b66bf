// Package orderplan carries out plan steps that send orders to engines: load, unload and
// change of role. It runs in the process that holds the duty lease and uses its
// order.Sender. It keeps no state; in a platform outage the plan does not progress.
package orderplan
