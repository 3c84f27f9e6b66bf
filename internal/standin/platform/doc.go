// Package platform serves the platform's service over HTTP/JSON from memory,
// for tests, benches and trestle-dev: API gives the calls, Switches the fault
// switches, the instance list and the call counts.
//
// All state is in the memstore.Store given to it. In a switched-on outage the
// API breaks connections without an answer, as a real outage does.
package platform
