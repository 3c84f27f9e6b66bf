// Package quarantinerpc exchanges the records of package quarantine between
// nodes. Each change is sent once to all peers, and at intervals each node
// exchanges its full set with a random peer.
//
// All state is soft: at most maxPending records wait to be sent. Lost records
// are sent again in the next full exchange. A platform outage has no effect here.
package quarantinerpc
