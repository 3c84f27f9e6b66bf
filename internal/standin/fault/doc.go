// Package fault holds the switches by which a stand-in is told to misbehave.
//
// A Set holds soft state: at most one switch of each kind, in memory only.
package fault
