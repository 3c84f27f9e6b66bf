// Package operator is the operators' service of a node: configuration by
// intent, plan and confirmation, plans of other kinds, and what the system
// knows of itself.
//
// It holds no state of its own: configurations and plans are hard state in the
// platform's service (packages configsync and intent). In an outage of the
// platform it still shows what is in force and the status, and refuses every
// change.
package operator
