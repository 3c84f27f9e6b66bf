package claim

import (
	"bytes"
	"strings"
	"sync"

	"github.com/google/uuid"

	"galenatrestle/internal/membership"
)

// bootTracker tracks the newest process observed on each node, by boot ID. Boot IDs are
// time-ordered, so a delayed message from an older process has no effect. The state is
// bounded by the number of nodes and may be lost or wrong: a process wrongly considered
// ended only turns an in-progress claim into an unknown one, which the outcome from its
// owner corrects.
type bootTracker struct {
	view membership.View

	mu     sync.Mutex
	newest map[string]uuid.UUID
}

func newBootTracker(view membership.View) *bootTracker {
	return &bootTracker{view: view, newest: make(map[string]uuid.UUID)}
}

func (b *bootTracker) observe(node string, boot uuid.UUID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.newest[node]
	if bytes.Compare(boot[:], known[:]) > 0 {
		b.newest[node] = boot
	}
}

// processEnded reports whether the process is known to have ended.
func (b *bootTracker) processEnded(node string, boot uuid.UUID) bool {
	b.mu.Lock()
	newest := b.newest[node]
	b.mu.Unlock()
	if bytes.Compare(boot[:], newest[:]) < 0 {
		return true
	}
	name, region, _ := strings.Cut(node, nameSeparator)
	if region != "" && region != b.view.Self().Region {
		// The view does not include members of other regions.
		return false
	}
	_, live := findMember(b.view, name)
	return !live
}

// claimNodeName returns the node name stored in claims: the member's name, followed by
// its region if it has one.
func claimNodeName(self membership.Member) string {
	if self.Region == "" {
		return self.Name
	}
	return self.Name + nameSeparator + self.Region
}

func findMember(view membership.View, name string) (membership.Member, bool) {
	if self := view.Self(); self.Name == name {
		return self, true
	}
	for _, member := range view.Members() {
		if member.Name == name {
			return member, true
		}
	}
	return membership.Member{}, false
}
