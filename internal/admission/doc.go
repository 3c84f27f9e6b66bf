// Package admission refuses at arrival what is not expected to be of use even
// if it ran at once, before it costs anything.
//
// It is pure and holds soft state, one counter for each class of a pool; losing
// it costs nothing. A platform outage does not touch it.
package admission
