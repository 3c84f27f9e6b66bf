// Package resolve tells what became of a write whose answer was lost. A value
// carries its write's unique id; after ErrUnavailable the key is read back
// until it is known whether that id took effect.
//
// It holds no state. In a platform outage it reads on, with growing pauses,
// until the context ends, and then says Unknown.
package resolve
