package replica

// StoreChange is a change of one registration in the store.
type StoreChange struct {
	// Replica has only an ID if the registration was removed.
	Replica Replica
	Removed bool
}

// StoreChanges are changes in the store, oldest first.
type StoreChanges struct {
	// Revision is the store's revision up to which the list is complete.
	Revision int64
	List     []StoreChange
	// More: there may be later changes.
	More bool
}

// Follow returns the listing after changes in the store since its revision.
// Registrations are rewritten with each heartbeat; if no replica differs, the result has the same
// slice of replicas. The listing must be ordered by ID and have a digest.
func (l Listing) Follow(changes StoreChanges) Listing {
	last := make(map[string]StoreChange, len(changes.List))
	for _, c := range changes.List {
		last[c.Replica.ID] = c
	}
	var delta Delta
	for id, c := range last {
		known, listed := find(l.Replicas, id)
		switch {
		case c.Removed && listed:
			delta.Removed = append(delta.Removed, id)
		case !c.Removed && (!listed || known != c.Replica):
			delta.Changed = append(delta.Changed, c.Replica)
		}
	}
	l.Revision = max(l.Revision, changes.Revision)
	if len(delta.Changed)+len(delta.Removed) > 0 {
		l.Replicas = delta.Apply(l.Replicas)
		l.Digest = Digest(l.Replicas)
	}
	return l
}
