// Package inspect lets operators ask at any node what another one alone knows:
// the timeline of a request, and the node's own leases, load and reach of the
// platform. It asks the node over the link between nodes.
//
// It holds no state. In a platform outage it works on: nothing here calls the
// platform.
package inspect
