// Package eventlog writes one JSON line for each decision that touches a
// request or changes what the process believes. Writing never blocks its
// caller: lines wait in a bounded buffer, and those that find it full are
// counted and dropped. Past a rate, lines on requests that went well are left
// out first.
//
// It holds soft state, the lines not yet written. A platform outage does not
// touch it.
package eventlog
