package returns

import (
	"sync"

	"galenatrestle/internal/quarantine"
)

// InProgress is the calls in progress at this node that must not run twice at a time. It is safe for
// concurrent use; it holds no more fingerprints than calls are in progress.
type InProgress struct {
	mu    sync.Mutex
	calls map[quarantine.Fingerprint]bool
}

// Begin reports whether the call may begin, which it may not while one with the same fingerprint is in
// progress. A call that began must End.
func (p *InProgress) Begin(f quarantine.Fingerprint) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.calls[f] {
		return false
	}
	if p.calls == nil {
		p.calls = make(map[quarantine.Fingerprint]bool)
	}
	p.calls[f] = true
	return true
}

// End records that the call has ended.
func (p *InProgress) End(f quarantine.Fingerprint) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.calls, f)
}
