// Package platform defines what the system needs from the platform's service:
// a small key-value store with compare-and-swap, leases and watches, the
// lagging list of VMs, and the rate-limited weight store.
//
// Everything behind these interfaces is hard state. Implementations live in
// sub-packages: memstore (in memory, the stand-in's core) and httpstore (the
// HTTP/JSON client).
package platform
