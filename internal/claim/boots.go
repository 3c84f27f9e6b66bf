package claim

import (
	"bytes"
	"strings"
	"sync"

	"github.com/google/uuid"

	"galenatrestle/internal/membership"
)

// boots knows the newest process seen of each node. Boot ids are ordered by
// time, so that a late message of an old process changes nothing. It is soft
// state, bounded by the number of nodes: being wrong turns a claim in progress
// into an unknown one, which its owner's outcome corrects.
type boots struct {
	view membership.View

	mu     sync.Mutex
	newest map[string]uuid.UUID
}

func newBoots(view membership.View) *boots {
	return &boots{view: view, newest: make(map[string]uuid.UUID)}
}

// seen notes a process of the node.
func (b *boots) seen(node string, boot uuid.UUID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	known := b.newest[node]
	if bytes.Compare(boot[:], known[:]) > 0 {
		b.newest[node] = boot
	}
}

// gone says whether the process is known to have ended.
func (b *boots) gone(node string, boot uuid.UUID) bool {
	b.mu.Lock()
	newest := b.newest[node]
	b.mu.Unlock()
	if bytes.Compare(boot[:], newest[:]) < 0 {
		return true
	}
	name, region, _ := strings.Cut(node, nameSeparator)
	if region != "" && region != b.view.Self().Region {
		// The members of other regions are not known here.
		return false
	}
	_, live := memberNamed(b.view, name)
	return !live
}

// processNode names the node in a claim, with its region where it has one.
func processNode(self membership.Member) string {
	if self.Region == "" {
		return self.Name
	}
	return self.Name + nameSeparator + self.Region
}

func memberNamed(view membership.View, name string) (membership.Member, bool) {
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
