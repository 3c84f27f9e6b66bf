// Package duty runs tasks on one node at a time for the whole fleet, such as usage
// reports to the platform. The node is elected by a key in the platform's store that is
// attached to a lease; the revision of the key is the fencing token of all that the
// holder does.
//
// The key is hard state in the platform, the local term a copy of it. In an outage of the
// store the term ends before the store's lease can, and no node acts until the store
// answers again.
package duty
