// Package duty has one node at a time do what must be done once for the whole fleet, such
// as telling the platform what was used. The holder is found by a key of the platform's
// store that lives under a lease; the key's revision is the fencing token of all that the
// holder does.
//
// The key is hard state in the platform, the term here a copy of it. In an outage of the
// store the term ends before the store's lease can, and nobody acts until the store
// answers again.
package duty
