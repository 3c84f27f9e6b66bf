// Package edge puts a node together that serves callers by pass-through routes:
// the entry listener, the answers to which addresses callers use, the readers
// of the platform's store, and the exchange with the other nodes.
//
// What must last lives in the platform's store; everything here is a copy or
// soft state. In an outage of the store a node serves with what it knows, until
// the proof that no key was revoked since has grown too old.
package edge
