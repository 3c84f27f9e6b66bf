package configsync

import (
	"sync"

	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
)

const (
	// maxDeltas and maxDeltaBytes bound the deltas that a node keeps.
	maxDeltas     = 64
	maxDeltaBytes = 256 << 10
)

// deltaLog keeps the last deltas that led to what is in force, so that a peer
// that is a little behind needs no whole document.
type deltaLog struct {
	mu     sync.Mutex
	deltas []*configsyncv1.Delta
	bytes  int
}

// add appends deltas. One that does not follow on the last starts anew.
func (l *deltaLog) add(deltas ...*configsyncv1.Delta) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, delta := range deltas {
		l.append(delta)
	}
}

func (l *deltaLog) append(delta *configsyncv1.Delta) {
	if n := len(l.deltas); n > 0 && l.deltas[n-1].GetTo().GetRevision() != delta.GetFromRevision() {
		l.deltas, l.bytes = nil, 0
	}
	l.deltas = append(l.deltas, delta)
	l.bytes += len(delta.GetPatch())
	for len(l.deltas) > maxDeltas || l.bytes > maxDeltaBytes {
		l.bytes -= len(l.deltas[0].GetPatch())
		l.deltas = l.deltas[1:]
	}
}

// since returns the deltas that lead from one revision to another, or nil
// where they are not all kept.
func (l *deltaLog) since(from, to int64) []*configsyncv1.Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, delta := range l.deltas {
		if delta.GetFromRevision() != from {
			continue
		}
		rest := l.deltas[i:]
		if rest[len(rest)-1].GetTo().GetRevision() != to {
			return nil
		}
		return append([]*configsyncv1.Delta(nil), rest...)
	}
	return nil
}

// endingAt returns the delta that led to the revision, or nil.
func (l *deltaLog) endingAt(revision int64) *configsyncv1.Delta {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.deltas)
	if n == 0 || l.deltas[n-1].GetTo().GetRevision() != revision {
		return nil
	}
	return l.deltas[n-1]
}
