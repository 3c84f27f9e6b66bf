package duty

import (
	"context"
	"sync"
)

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

// Work is what a holder does. Run returns when ctx ends, at the latest.
type Work interface {
	Run(ctx context.Context, term Term)
}

// works are the running works of one term.
type works struct {
	group sync.WaitGroup
}

func (w *works) start(ctx context.Context, list []Work, term Term) {
	for _, work := range list {
		w.group.Go(func() { work.Run(ctx, term) })
	}
}

func (w *works) wait() { w.group.Wait() }
