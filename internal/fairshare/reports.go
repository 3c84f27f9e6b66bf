package fairshare

import (
	"sync"
	"time"
)

// reportTTL is how long a report of another node stays valid: five rounds of nodesync, as for loads.
const reportTTL = time.Second

// report is the last one of another node, or of the hub of another group of nodes.
type report struct {
	sums Sums
	// inGroup reports are part of this node's group, whose uses it adds up.
	inGroup bool
	// remote reports are of nodes in other availability zones.
	remote     bool
	receivedAt time.Time
}

func (r *report) recent(now time.Time) bool { return now.Sub(r.receivedAt) <= reportTTL }

// reports are the uses that other nodes reported. It is safe for concurrent use.
type reports struct {
	mu     sync.Mutex
	peers  map[string]report
	groups map[string]report
	// fleet is the use of all other nodes.
	fleet report
}

func newReports() *reports {
	return &reports{peers: make(map[string]report), groups: make(map[string]report)}
}

func (r *reports) set(list map[string]report, name string, received report) {
	r.mu.Lock()
	defer r.mu.Unlock()
	list[name] = received
	for other, old := range list {
		if !old.recent(received.receivedAt) {
			delete(list, other)
		}
	}
}

// others returns the use of all other nodes and the age of the oldest part of it: the fleet's sum if
// there is a recent one, otherwise the sum of the recent reports of single nodes.
func (r *reports) others(now time.Time) (Sums, time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.fleet.recent(now) {
		return r.fleet.sums, now.Sub(r.fleet.receivedAt)
	}
	var sums Sums
	var age time.Duration
	for _, peer := range r.peers {
		if peer.recent(now) {
			sums, age = sums.add(peer.sums), max(age, now.Sub(peer.receivedAt))
		}
	}
	return sums, age
}

// sum adds the recent reports that are accepted to the sums.
func (r *reports) sum(sums Sums, list map[string]report, now time.Time, accept func(*report) bool) Sums {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, received := range list {
		if received.recent(now) && accept(&received) {
			sums = sums.add(received.sums)
		}
	}
	return sums
}
