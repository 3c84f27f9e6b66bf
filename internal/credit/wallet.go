package credit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Need is what a node knows of one upstream when it looks at its credits.
type Need struct {
	Upstream string
	// Waiting is the number of requests that wait in the most urgent tier, Rest
	// that of the others. Tier and Slack are of the most urgent one.
	Waiting int
	Rest    int
	Tier    int
	Slack   time.Duration
	// Replicas are those that may get work.
	Replicas []ReplicaNeed
}

// ReplicaNeed is one replica of an upstream as the node sees it.
type ReplicaNeed struct {
	Name string
	// Owner is the name of the node that owns the replica.
	Owner string
	Limit int
	// Running is the number of this node's requests there.
	Running int
}

// Wallet holds one node's credits. It is pure and not safe for concurrent use.
type Wallet struct {
	node     string
	settings Settings
	rng      *rand.Rand
	credits  map[string]credit
	owners   map[string]*ownerState
	subsets  map[string]*subset
	// lastUrgent is when an ask last went out before its time.
	lastUrgent time.Time
}

// credit is what this node may use of one replica.
type credit struct {
	slots   int
	expires time.Time
}

// ownerState is what the wallet knows of its exchange with one owner.
type ownerState struct {
	// asked is when the last ask went out, next when the next one is due.
	asked, next time.Time
}

// NewWallet returns an empty wallet.
func NewWallet(node string, settings Settings, rng *rand.Rand) *Wallet {
	return &Wallet{
		node:     node,
		settings: settings.withDefaults(),
		rng:      rng,
		credits:  make(map[string]credit),
		owners:   make(map[string]*ownerState),
		subsets:  make(map[string]*subset),
	}
}

// Allowance returns the slots of a replica that this node may use: what the
// owner granted, or the fair part of the limit where there is no grant in
// force.
func (w *Wallet) Allowance(now time.Time, replica string, limit, nodes int) int {
	c, ok := w.credits[replica]
	if ok && now.Before(c.expires) {
		return c.slots
	}
	return FairPart(limit, nodes)
}

// Plan returns the asks that are due, by owner. Each owner gets one message
// with the asks of all its replicas; the times of different owners are spread.
func (w *Wallet) Plan(now time.Time, needs []Need) map[string][]Ask {
	asks := make(map[string][]Ask)
	var short []string
	for _, need := range needs {
		replicas := w.Subset(now, need)
		for i, ask := range w.asks(need, replicas) {
			asks[replicas[i].Owner] = append(asks[replicas[i].Owner], ask)
		}
		if w.short(now, need, replicas) {
			short = append(short, owners(replicas)...)
		}
	}
	due := make(map[string][]Ask)
	for _, owner := range slices.Sorted(maps.Keys(asks)) {
		if w.due(now, owner) {
			due[owner] = asks[owner]
		}
	}
	if owner := w.urgent(now, short, len(asks)); owner != "" {
		due[owner] = w.asksOf(now, owner, needs)
	}
	return due
}

// asksOf returns the asks of one owner's replicas, with all that waits placed
// on these.
func (w *Wallet) asksOf(now time.Time, owner string, needs []Need) []Ask {
	var asks []Ask
	for _, need := range needs {
		var own []ReplicaNeed
		for _, r := range w.Subset(now, need) {
			if r.Owner == owner {
				own = append(own, r)
			}
		}
		asks = append(asks, w.asks(need, own)...)
	}
	return asks
}

// asks places what waits on the replicas, beginning at a random one.
func (w *Wallet) asks(need Need, replicas []ReplicaNeed) []Ask {
	if len(replicas) == 0 {
		return nil
	}
	offset := w.rng.IntN(len(replicas))
	asks := make([]Ask, len(replicas))
	for i, r := range replicas {
		place := (i + offset) % len(replicas)
		asks[i] = w.ask(need, r, share(need.Waiting, len(replicas), place), share(need.Rest, len(replicas), place))
	}
	return asks
}

func (w *Wallet) ask(need Need, r ReplicaNeed, waiting, rest int) Ask {
	want := min(r.Running+waiting, max(r.Limit, r.Running))
	return Ask{
		Replica: r.Name,
		Limit:   r.Limit,
		Used:    r.Running,
		Want:    want,
		Extra:   max(min(max(rest, w.settings.Prepaid), r.Limit-want), 0),
		Waiting: need.Waiting > 0,
		Tier:    need.Tier,
		Slack:   need.Slack,
	}
}

// share is the part of the replica at a place of what is dealt out in turn.
func share(waiting, replicas, place int) int {
	part := waiting / replicas
	if place < waiting%replicas {
		part++
	}
	return part
}

// owners returns the replicas' owners, each once, ordered.
func owners(replicas []ReplicaNeed) []string {
	var names []string
	for _, r := range replicas {
		names = append(names, r.Owner)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Unbounded is the allowance of a node that has nobody to share with.
const Unbounded = -1

// Allowances returns the slots of each replica of an upstream that this node
// may use: none outside its subset, Unbounded where it is the only one.
func (w *Wallet) Allowances(now time.Time, need Need, nodes int) map[string]int {
	allowances := make(map[string]int, len(need.Replicas))
	if nodes <= 1 {
		for _, r := range need.Replicas {
			allowances[r.Name] = Unbounded
		}
		return allowances
	}
	for _, r := range need.Replicas {
		allowances[r.Name] = 0
	}
	for _, r := range w.Subset(now, need) {
		allowances[r.Name] = w.Allowance(now, r.Name, r.Limit, nodes)
	}
	return allowances
}

// due reports whether it is time to ask an owner.
func (w *Wallet) due(now time.Time, owner string) bool {
	state, ok := w.owners[owner]
	if !ok {
		state = &ownerState{}
		w.owners[owner] = state
	}
	if now.Before(state.next) {
		return false
	}
	w.asked(now, state)
	return true
}

func (w *Wallet) asked(now time.Time, state *ownerState) {
	renew := w.settings.Renew
	state.asked = now
	state.next = now.Add(renew*9/10 + time.Duration(w.rng.Int64N(int64(renew/5))))
}

// fewOwners is the number of owners up to which a node asks before its time
// twice as often: its regular messages cost less then.
const fewOwners = 16

// urgentInterval is the shortest time between two asks before their time at a
// node that works with the given number of owners.
func (w *Wallet) urgentInterval(owners int) time.Duration {
	if owners <= fewOwners {
		return w.settings.Urgent / 2
	}
	return w.settings.Urgent
}

// urgent returns the owner to ask before its time, or none: of the given ones
// that was asked longest ago. all is the number of owners that the node asks.
func (w *Wallet) urgent(now time.Time, owners []string, all int) string {
	if len(owners) == 0 || now.Sub(w.lastUrgent) < w.urgentInterval(all) {
		return ""
	}
	chosen := owners[0]
	for _, owner := range owners {
		if w.owners[owner].asked.Before(w.owners[chosen].asked) {
			chosen = owner
		}
	}
	w.lastUrgent = now
	w.asked(now, w.owners[chosen])
	return chosen
}

// short reports whether requests wait and no slot of the replicas is free.
func (w *Wallet) short(now time.Time, need Need, replicas []ReplicaNeed) bool {
	if need.Waiting == 0 {
		return false
	}
	for _, r := range replicas {
		c := w.credits[r.Name]
		if now.Before(c.expires) && c.slots > r.Running {
			return false
		}
	}
	return true
}

// Apply takes in an owner's grants.
func (w *Wallet) Apply(now time.Time, grants []Grant) {
	for _, g := range grants {
		w.credits[g.Replica] = credit{slots: g.Slots, expires: now.Add(g.For)}
	}
}

// Sweep forgets credits that have expired and owners not asked for long.
func (w *Wallet) Sweep(now time.Time) {
	for replica, c := range w.credits {
		if !now.Before(c.expires) {
			delete(w.credits, replica)
		}
	}
	for upstream, s := range w.subsets {
		if now.Sub(s.used) > w.settings.LeaseTime {
			delete(w.subsets, upstream)
		}
	}
	for owner, state := range w.owners {
		if now.Sub(state.asked) > 2*w.settings.LeaseTime {
			delete(w.owners, owner)
		}
	}
}
