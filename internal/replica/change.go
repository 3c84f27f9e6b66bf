package replica

// ChangeKind is the kind of change to a replica.
type ChangeKind string

// Kinds of changes.
const (
	Added           ChangeKind = "appeared"
	StartedDraining ChangeKind = "draining"
	Removed         ChangeKind = "gone"
)

// Change is one difference between two states of a Set.
type Change struct {
	Replica Replica
	Kind    ChangeKind
}
