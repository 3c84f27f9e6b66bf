// Package streamorigin keeps at which software version of its replicas each resumable stream began.
// Events of two versions do not fit together, so that a stream may go on only at the version that
// began it, also if its caller resumes it at another node.
//
// A node passes on the records of its streams to two other nodes a few times a second. While replicas
// of several versions serve an upstream, or a route is split, it does so within some 20 ms, and one node
// writes them to the platform's store several times a second. A node that does not know a stream asks
// the other nodes, then the store. A stream that nobody knows began at the only version that has served
// lately, if there is only one; if not, it may not be resumed.
//
// All state is soft. Each node keeps at most maxRecords records, each until its caller's deadline. In
// an outage of the platform, records that survive at other nodes are still found.
package streamorigin
