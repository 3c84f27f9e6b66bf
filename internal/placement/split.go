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

// Engines interleave the prefill of long prompts with the decoding of running requests;
// several long prefills in a row stall every running stream. The replicas of an engine are
// therefore split into two sides by load, one for classes with short prompts and one for
// classes with long prompts. All nodes order the replicas alike and exchange loads, so their
// splits differ by at most about one replica.
const (
	// longPromptThreshold is the average prompt length, in tokens, from which a class has long
	// prompts: the number of tokens that an engine prefills in one step.
	longPromptThreshold = 2000
	// promptWeight is the weight of one prompt in its class's average length.
	promptWeight = 0.05
	// shortPerReplica and longPerReplica are the target numbers of concurrent requests per
	// replica.
	shortPerReplica = 20.0
	// maxShortPerReplica is the number of concurrent short-prompt requests per replica above which
	// the short side takes replicas from the long side, whatever the load there.
	maxShortPerReplica = 26.0
	longPerReplica     = 4.0
	// splitAveragingTime is the averaging time of the loads: longer than load reports take to
	// arrive, much shorter than a burst. With a burst of long prompts and then one of short prompts on
	// 9 replicas, 0.4 s served 0.875 of all requests in time and 1 s served 0.858.
	splitAveragingTime = 400 * time.Millisecond
	// shortOnLongSideCost and longOnShortSideCost are the costs of a replica of the other side, in
	// milliseconds: about what the pauses and the longer wait for the first token are worth.
	shortOnLongSideCost = 150.0
	longOnShortSideCost = 100.0
	// stallStartMS is the duration of consecutive prefill above which some short-prompt streams
	// pause for longer than is acceptable. At stallFullMS all of them do. stallCost is the cost per
	// stalled stream.
	stallStartMS = 100.0
	stallFullMS  = 200.0
	stallCost    = 300.0
)

// split is the average load of the two sides, in replicas.
type split struct {
	shortLoad, longLoad float64
	updatedAt           time.Time
}

func (u *upstream) learnPrompt(r *Request) {
	if r.PromptTokens == 0 {
		return
	}
	average, known := u.avgPromptTokens[r.Class]
	if !known {
		average = float64(r.PromptTokens)
	}
	u.avgPromptTokens[r.Class] = average + promptWeight*(float64(r.PromptTokens)-average)
}

func (u *upstream) hasLongPrompts(r *Request) bool {
	return u.avgPromptTokens[r.Class] >= longPromptThreshold
}

// availableReplicas returns the replicas that accept new requests, ordered by a hash of their
// IDs.
func availableReplicas(replicas []replica.Replica) []replica.Replica {
	available := make([]replica.Replica, 0, len(replicas))
	for _, r := range replicas {
		if !r.Draining {
			available = append(available, r)
		}
	}
	slices.SortFunc(available, func(a, b replica.Replica) int {
		if order := cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)); order != 0 {
			return order
		}
		return strings.Compare(a.ID, b.ID)
	})
	return available
}

// shortSideSize returns n such that the first n available replicas form the short side.
func (u *upstream) shortSideSize(now time.Time, r *Request, available []*replicaState) int {
	if r.PromptTokens == 0 || len(available) < 2 {
		return len(available)
	}
	target, maximum := shortCapacity(available)
	if u.objective != nil {
		target, maximum = u.objective.boundShort(target, maximum)
	}
	u.updateAverages(now, available, target)
	shortLoad, longLoad := u.split.shortLoad+assumedDemand, u.split.longLoad+assumedDemand
	share := shortLoad / (shortLoad + longLoad)
	side := int(math.Round(float64(len(available)) * share))
	if u.objective != nil {
		side = u.shortSideCount(available, share)
	}
	// The short side keeps the replicas that its load needs, even when long-prompt requests queue
	// up.
	minimum := int(math.Ceil(u.split.shortLoad * target / maximum))
	return min(max(side, minimum, 1), len(available)-1)
}

// assumedDemand is added to each side's load, in replicas, so that an idle side has room for
// its first requests.
const assumedDemand = 0.3

// updateAverages updates the average loads. shortTarget is the target number of short-prompt
// requests per replica.
func (u *upstream) updateAverages(now time.Time, available []*replicaState, shortTarget float64) {
	runningShort, running, own := 0, 0, 0
	for _, s := range available {
		own += s.running
		runningShort += s.runningShort + s.peersRunningShort
		running += s.running + s.peersRunning
	}
	elapsed := now.Sub(u.split.updatedAt)
	u.split.updatedAt = now
	decay := math.Exp(-elapsed.Seconds() / splitAveragingTime.Seconds())
	u.updateRunningAverages(elapsed, own, running)
	u.split.shortLoad = decay*u.split.shortLoad + (1-decay)*float64(runningShort)/shortTarget
	u.split.longLoad = decay*u.split.longLoad + (1-decay)*float64(running-runningShort)/longPerReplica
}

// stallingCost returns the cost of stalling the short-prompt streams at the replica while the
// request's uncached tokens are prefilled.
func (u *upstream) stallingCost(r *Request, s *replicaState, uncached int) float64 {
	if !u.hasLongPrompts(r) {
		return 0
	}
	stall := u.prefillMS(s, s.pendingPrefill()+uncached)
	fraction := min(max((stall-stallStartMS)/(stallFullMS-stallStartMS), 0), 1)
	return fraction * stallCost * float64(s.runningShort+s.peersRunningShort)
}

// sideCost returns the cost of a replica on the side of the other classes.
func (u *upstream) sideCost(r *Request, onShortSide bool) float64 {
	switch {
	case r.PromptTokens == 0 || u.hasLongPrompts(r) != onShortSide:
		return 0
	case u.byObjective(r):
		return u.objective.otherSideCost()
	case onShortSide:
		return longOnShortSideCost
	default:
		return shortOnLongSideCost
	}
}
