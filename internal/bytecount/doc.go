// Package bytecount counts the bytes of connections, both ways, for measurements
// and tests. A count may be shared by many connections.
package bytecount
