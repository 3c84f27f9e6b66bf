package configsync

import (
	"slices"
	"sync"
)

// unanswered holds the addresses whose last notice failed, with the number of
// tries for one revision. It is bounded by the known addresses: a new revision
// starts it anew.
type unanswered struct {
	mu       sync.Mutex
	revision int64
	tries    map[string]int
	again    map[string]bool
}

// failed notes a failed try.
func (u *unanswered) failed(address string, revision int64) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if revision < u.revision {
		return
	}
	if revision > u.revision || u.tries == nil {
		u.revision = revision
		u.tries = make(map[string]int)
		u.again = make(map[string]bool)
	}
	u.tries[address]++
	u.again[address] = u.tries[address] < maxNotifyTries
}

// answered forgets an address.
func (u *unanswered) answered(address string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.again, address)
}

// take returns the addresses to try again and forgets them until they fail
// again.
func (u *unanswered) take() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	var addresses []string
	for address, again := range u.again {
		if again {
			addresses = append(addresses, address)
		}
	}
	clear(u.again)
	slices.Sort(addresses)
	return addresses
}
