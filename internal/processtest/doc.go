// Package processtest holds scripted scenarios against real processes on
// loopback: a platform stand-in, engines, plain services and three nodes, which
// the test program starts, kills, freezes and cuts from each other. The ground
// truth is the stand-ins' own lists of what they ran.
//
// It holds no code but tests. All state is a script's own: its processes,
// relays and reserved ports end with it, and few scripts run at once.
package processtest
