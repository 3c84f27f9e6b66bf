// Package standin serves the fault switches and the run lists of named
// stand-ins (engines, plain services, the platform) over HTTP, for tests and
// for people who try the system.
//
// It holds no state of its own. It is never part of a production process.
package standin
