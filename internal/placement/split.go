package placement

import (
	"cmp"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"galenatrestle/internal/replica"
)

// An engine reads long prompts between the tokens of the requests that run
// there: a few of them in a row hold every running stream up beyond its longest
// pause. The replicas of an engine are therefore split in two sides, one for
// classes with long prompts and one for the others, by the load of each. All
// nodes order the replicas alike, and learn of each other's load, so that their
// splits differ by a replica at most.
const (
	// heavyFrom is the usual prompt of a class from which it counts as heavy:
	// what an engine reads in one step.
	heavyFrom = 2000
	// promptWeight is the weight of one prompt in its class's usual one.
	promptWeight = 0.05
	// lightPerReplica is the light requests that a replica runs well at once,
	// heavyPerReplica the heavy ones.
	lightPerReplica = 20.0
	// lightAtMost is the light requests up to which a replica is filled rather
	// than that the heavy side gives one up.
	lightAtMost     = 26.0
	heavyPerReplica = 4.0
	// splitMemory is the time over which the loads are averaged: longer than the news
	// of other nodes take, much shorter than a burst. With a burst of long prompts and
	// then one of short ones on 9 replicas, 0.4 s had 0.875 of all on time, 1 s 0.858.
	splitMemory = 400 * time.Millisecond
	// lightAmongHeavy and heavyAmongLight are the costs of a replica of the
	// other side, in milliseconds: about what the pauses and the longer wait
	// for the first token are worth.
	lightAmongHeavy = 150.0
	heavyAmongLight = 100.0
	// stallFrom is the time of reading prompts in a row, in milliseconds, from
	// which the running light streams begin to be held up beyond their longest
	// pause, and stallTo that from which all of them are. stallCost is the cost
	// of each of them.
	stallFrom = 100.0
	stallTo   = 200.0
	stallCost = 300.0
)

// split is the averaged load of the two sides, in replicas.
type split struct {
	light, heavy float64
	at           time.Time
}

// learnPrompt takes in the length of a prompt.
func (u *upstream) learnPrompt(r *Request) {
	if r.PromptTokens == 0 {
		return
	}
	usual, known := u.prompts[r.Class]
	if !known {
		usual = float64(r.PromptTokens)
	}
	u.prompts[r.Class] = usual + promptWeight*(float64(r.PromptTokens)-usual)
}

// heavy says whether the request's class has long prompts.
func (u *upstream) heavy(r *Request) bool { return u.prompts[r.Class] >= heavyFrom }

// open lists the replicas that take new requests, in the order of the split.
func open(replicas []replica.Replica) []replica.Replica {
	open := make([]replica.Replica, 0, len(replicas))
	for _, r := range replicas {
		if !r.Draining {
			open = append(open, r)
		}
	}
	slices.SortFunc(open, func(a, b replica.Replica) int {
		if order := cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	})
	return open
}

// lightSide is the number of replicas, from the first, that take light requests.
func (u *upstream) lightSide(now time.Time, r *Request, open []*state) int {
	if r.PromptTokens == 0 || len(open) < 2 {
		return len(open)
	}
	usual, atMost := lightPer(open)
	u.average(now, open, usual)
	light, heavy := u.split.light+assumedDemand, u.split.heavy+assumedDemand
	side := int(math.Round(float64(len(open)) * light / (light + heavy)))
	// Heavy requests that queue up do not take the replicas which the light
	// ones need, and those of a light side that is full spread no further.
	least := int(math.Ceil(u.split.light * usual / atMost))
	return min(max(side, least, 1), len(open)-1)
}

// assumedDemand is added to each side's demand, in replicas, so that a side
// without requests, as at the start, has room for the first of them.
const assumedDemand = 0.3

// average takes the present load into the averages, in which a replica runs so many
// light requests well.
func (u *upstream) average(now time.Time, open []*state, lightPer float64) {
	light, running, own := 0, 0, 0
	for _, s := range open {
		own += s.running
		light += s.light + s.peersLight
		running += s.running + s.peersRunning
	}
	passed := now.Sub(u.split.at)
	u.split.at = now
	keep := math.Exp(-passed.Seconds() / splitMemory.Seconds())
	u.averageRunning(passed, own, running)
	u.split.light = keep*u.split.light + (1-keep)*float64(light)/lightPer
	u.split.heavy = keep*u.split.heavy + (1-keep)*float64(running-light)/heavyPerReplica
}

// stalling is the cost of holding up the light streams that run at the replica
// while the request's prompt is read there, of which uncached tokens are not in
// the cache.
func (u *upstream) stalling(r *Request, s *state, uncached int) float64 {
	if !u.heavy(r) {
		return 0
	}
	stall := u.reading.PrefillMS(s.toRead() + uncached)
	part := min(max((stall-stallFrom)/(stallTo-stallFrom), 0), 1)
	return part * stallCost * float64(s.light+s.peersLight)
}

// sideCost is what it costs to place the request on the side.
func (u *upstream) sideCost(r *Request, lightSide bool) float64 {
	switch {
	case r.PromptTokens == 0 || u.heavy(r) != lightSide:
		return 0
	case lightSide:
		return heavyAmongLight
	default:
		return lightAmongHeavy
	}
}
