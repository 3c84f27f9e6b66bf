package platform

// Transaction is a set of changes that the store makes all at once or not at all.
type Transaction struct {
	// Conditions must hold, else nothing is changed.
	Conditions []Condition
	Writes     []Write
}

// Condition asks that a key is at a revision; zero: that it does not exist.
type Condition struct {
	Key      string
	Revision int64
}

// Write sets a key. With a lease, the key is removed when the lease ends.
type Write struct {
	Key   string
	Value []byte
	// Lease is zero for a key that stays.
	Lease int64
}
