package explain

import "time"

// Line is an event in an operator's words.
type Line struct {
	At time.Time
	// Step names the part of the path, such as "queue".
	Step string
	// Peer is the other side: a replica or an address; empty for none.
	Peer string
	// Decision is what was done or seen, Reason why.
	Decision string
	Reason   string
}
