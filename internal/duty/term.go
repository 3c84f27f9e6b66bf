package duty

import "context"

// Term is the time for which one node is the holder.
type Term struct {
	// Holder is the node's name, Fence the fencing token of its calls.
	Holder string
	Fence  int64
	// Held reports whether the node may act now. It is exact even directly after a pause
	// of the process.
	Held func() bool
	// Key is the store's key whose revision is Fence until another node takes over.
	Key string
}

// Task runs on the holder. Run must return when ctx ends, or earlier.
type Task interface {
	Run(ctx context.Context, term Term)
}
