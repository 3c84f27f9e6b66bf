package credit

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"
)

// Need is a node's current demand for one upstream.
type Need struct {
	Upstream string
	// Waiting is the number of requests waiting in the most urgent tier, Rest the
	// number in other tiers. Tier and Slack belong to the most urgent request.
	Waiting int
	Rest    int
	Tier    int
	Slack   time.Duration
	// Replicas are the replicas eligible for new requests.
	Replicas []ReplicaNeed
}

// ReplicaNeed is a node's view of one replica of an upstream.
type ReplicaNeed struct {
	Name string
	// Owner is the name of the replica's owner node.
	Owner string
	Limit int
	// Running is the number of this node's requests running on the replica.
	Running int
}

// Wallet keeps the credits of one node. It does no I/O and is not safe for
// concurrent use.
type Wallet struct {
	node     string
	settings Settings
	rng      *rand.Rand
	credits  map[string]credit
	owners   map[string]*ownerState
	subsets  map[string]*subset
	// lastUrgent is when the last early message was planned.
	lastUrgent time.Time
}

// credit is a grant of slots of one replica.
type credit struct {
	slots   int
	expires time.Time
}

// ownerState has the message times of one owner.
type ownerState struct {
	// nextAsk is when the next regular message is due.
	lastAsk, nextAsk time.Time
}

// NewWallet returns a wallet without credits.
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

// Allowance returns the number of slots of a replica that this node may use: the
// owner's grant, or FairPart without a valid one.
func (w *Wallet) Allowance(now time.Time, replica string, limit, nodes int) int {
	c, ok := w.credits[replica]
	if ok && now.Before(c.expires) {
		return c.slots
	}
	return FairPart(limit, nodes)
}

// Plan returns the asks that are due, by owner. Each owner gets one message with
// the asks for all its replicas. Random jitter spreads the messages to owners.
func (w *Wallet) Plan(now time.Time, needs []Need) map[string][]Ask {
	asks := make(map[string][]Ask)
	var short []string
	for _, need := range needs {
		replicas := w.Subset(now, need)
		for i, ask := range w.asks(need, replicas) {
			asks[replicas[i].Owner] = append(asks[replicas[i].Owner], ask)
		}
		if w.hasNoFreeSlot(now, need, replicas) {
			short = append(short, distinctOwners(replicas)...)
		}
	}
	due := make(map[string][]Ask)
	for _, owner := range slices.Sorted(maps.Keys(asks)) {
		if w.due(now, owner) {
			due[owner] = asks[owner]
		}
	}
	if owner := w.chooseUrgentOwner(now, short, len(asks)); owner != "" {
		due[owner] = w.asksOf(now, owner, needs)
	}
	return due
}

// asksOf returns the asks for one owner's replicas, with all waiting requests
// distributed over these.
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

// asks distributes the waiting requests evenly over the replicas, beginning at a
// random one.
func (w *Wallet) asks(need Need, replicas []ReplicaNeed) []Ask {
	if len(replicas) == 0 {
		return nil
	}
	offset := w.rng.IntN(len(replicas))
	asks := make([]Ask, len(replicas))
	for i, r := range replicas {
		place := (i + offset) % len(replicas)
		asks[i] = w.ask(need, r, splitEvenly(need.Waiting, len(replicas), place), splitEvenly(need.Rest, len(replicas), place))
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

// splitEvenly returns the number of waiting requests assigned to the replica with
// index place; the first replicas get the remainder.
func splitEvenly(waiting, replicas, place int) int {
	part := waiting / replicas
	if place < waiting%replicas {
		part++
	}
	return part
}

// distinctOwners returns the sorted names of the replicas' owners.
func distinctOwners(replicas []ReplicaNeed) []string {
	var names []string
	for _, r := range replicas {
		names = append(names, r.Owner)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// Unbounded is the allowance of the only serving node: no limit by credits.
const Unbounded = -1

// Allowances returns the number of slots of each replica of an upstream that this
// node may use: 0 outside its subset, Unbounded if it is the only node.
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

// due reports whether a regular message to the owner is due, and if so schedules
// the next one.
func (w *Wallet) due(now time.Time, owner string) bool {
	state, ok := w.owners[owner]
	if !ok {
		state = &ownerState{}
		w.owners[owner] = state
	}
	if now.Before(state.nextAsk) {
		return false
	}
	w.recordAsk(now, state)
	return true
}

func (w *Wallet) recordAsk(now time.Time, state *ownerState) {
	renew := w.settings.Renew
	state.lastAsk = now
	state.nextAsk = now.Add(renew*9/10 + time.Duration(w.rng.Int64N(int64(renew/5))))
}

// maxFastAskOwners is the number of owners up to which early messages may be sent
// twice as often, because there are fewer regular messages.
const maxFastAskOwners = 16

// urgentInterval returns the minimum time between two early messages of a node
// that uses the given number of owners.
func (w *Wallet) urgentInterval(owners int) time.Duration {
	if owners <= maxFastAskOwners {
		return w.settings.Urgent / 2
	}
	return w.settings.Urgent
}

// chooseUrgentOwner returns the least recently asked of the owners for an early
// message and records the ask, or returns "" if none may be sent yet. all is the
// number of owners that the node uses.
func (w *Wallet) chooseUrgentOwner(now time.Time, owners []string, all int) string {
	if len(owners) == 0 || now.Sub(w.lastUrgent) < w.urgentInterval(all) {
		return ""
	}
	chosen := owners[0]
	for _, owner := range owners {
		if w.owners[owner].lastAsk.Before(w.owners[chosen].lastAsk) {
			chosen = owner
		}
	}
	w.lastUrgent = now
	w.recordAsk(now, w.owners[chosen])
	return chosen
}

// hasNoFreeSlot reports whether requests wait and no valid credit for the replicas
// has a free slot.
func (w *Wallet) hasNoFreeSlot(now time.Time, need Need, replicas []ReplicaNeed) bool {
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

// Apply records an owner's grants.
func (w *Wallet) Apply(now time.Time, grants []Grant) {
	for _, g := range grants {
		w.credits[g.Replica] = credit{slots: g.Slots, expires: now.Add(g.For)}
	}
}

// Sweep removes expired credits, unused subsets and owners not asked recently.
func (w *Wallet) Sweep(now time.Time) {
	for replica, c := range w.credits {
		if !now.Before(c.expires) {
			delete(w.credits, replica)
		}
	}
	for upstream, s := range w.subsets {
		if now.Sub(s.usedAt) > w.settings.LeaseTime {
			delete(w.subsets, upstream)
		}
	}
	for owner, state := range w.owners {
		if now.Sub(state.lastAsk) > 2*w.settings.LeaseTime {
			delete(w.owners, owner)
		}
	}
}
