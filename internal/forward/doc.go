// Package forward takes a checked call to its end: it chooses a replica, sends
// the call there, passes the answer on and decides what follows a failure. It
// knows no names of a wire format; a Codec has them.
//
// It decides what the caller may be told: that a call was not run is said only
// where no byte of it reached a replica, or where each replica that got one
// said that it did not run it.
//
// It holds soft state, the calls in flight. A platform outage does not touch
// it.
package forward
