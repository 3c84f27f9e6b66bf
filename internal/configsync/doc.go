// Package configsync accepts configurations and spreads them to all nodes.
//
// It keeps hard state in the platform's store: the newest accepted record
// under one key, and each revision's record and document under further keys
// (at most MaxHistory revisions and MaxOpen open proposals). A document is
// accepted by one compare-and-swap of the newest record and by nothing else;
// an answer lost after the write is resolved by reading back the write's id.
//
// What is in force at a node (Current) only ever moves to a higher revision.
// Nodes hear of a new one from few watches of the store, from notices of the
// node that learned it, and by pulling from peers.
//
// In an outage of the platform serving goes on with what is in force, nothing
// is newly accepted, and a node that starts takes the newest from its peers.
package configsync
