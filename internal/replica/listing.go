package replica

// Listing is all registrations as of one revision of the store.
type Listing struct {
	Revision int64
	Replicas []Replica
}
