// Package embedded runs a whole small deployment in one process on loopback:
// the platform stand-in, nodes in some availability zones, engine and
// plain-service stand-ins. trestle-dev, the load tool and the whole-path tests
// use it. It holds nothing that outlives the process.
package embedded
