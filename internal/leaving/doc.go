// Package leaving merges the signs that an upstream's replica or a VM is
// leaving, from whatever source, into one answer, and spreads them as
// membership notes, so that all nodes stop sending new work within seconds of
// the first sign.
//
// It is soft state, bounded by MaxVotes: being wrong costs efficiency, since a
// replica that is wrongly thought to leave stands idle until its own report or
// VoteTime corrects it. It needs no platform: in an outage the engines' own
// word and the peers' notes remain.
package leaving
