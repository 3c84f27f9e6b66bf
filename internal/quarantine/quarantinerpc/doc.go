// Package quarantinerpc spreads the records of package quarantine between
// nodes: each change goes to all peers once, and from time to time one peer,
// drawn at random, is asked for everything.
//
// It holds soft state only: at most maxPending records that wait to be sent.
// What is lost on the way comes with the next exchange. A platform outage
// changes nothing here.
package quarantinerpc
