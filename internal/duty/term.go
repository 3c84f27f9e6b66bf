package duty

import "context"

// Term is one node's time as the holder.
type Term struct {
	// Holder is the node's name, Fence the token of all that it does.
	Holder string
	Fence  int64
	// Held says whether it may act at this moment: it is exact also directly after a
	// pause of the process.
	Held func() bool
	// Key is the key whose revision is Fence for as long as no other node holds it.
	Key string
}

// Task is what a holder does. Run returns when ctx ends, at the latest.
type Task interface {
	Run(ctx context.Context, term Term)
}
