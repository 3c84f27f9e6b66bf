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
	// longPromptFrom is the average prompt length, in tokens, from which a class counts as long:
	// what an engine prefills in one step.
	longPromptFrom = 2000
	// promptWeight is the weight of one prompt in its class's average length.
	promptWeight = 0.05
	// shortPerReplica and longPerReplica are the target numbers of concurrent requests per
	// replica.
	shortPerReplica = 20.0
	// maxShortPerReplica is the number of short-prompt requests up to which a replica is filled
	// before the long side gives up a replica.
	maxShortPerReplica = 26.0
	longPerReplica     = 4.0
	// splitAveragingTime is the averaging time of the loads: longer than load reports take to
	// arrive, much shorter than a burst.
	splitAveragingTime = 400 * time.Millisecond
	// shortOnLongSideCost and longOnShortSideCost are the costs of a replica of the other side, in
	// milliseconds.
	shortOnLongSideCost = 150.0
	longOnShortSideCost = 100.0
	// stallFrom is the time of consecutive prefill, in milliseconds, from which short-prompt
	// streams start to stall beyond the longest acceptable pause, and stallTo that at which all of
	// them do. stallCost is the cost per stalled stream.
	stallFrom = 100.0
	stallTo   = 200.0
	stallCost = 300.0
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
	usual, known := u.usualPromptTokens[r.Class]
	if !known {
		usual = float64(r.PromptTokens)
	}
	u.usualPromptTokens[r.Class] = usual + promptWeight*(float64(r.PromptTokens)-usual)
}

func (u *upstream) hasLongPrompts(r *Request) bool {
	return u.usualPromptTokens[r.Class] >= longPromptFrom
}

// availableReplicas returns the replicas that accept new requests, ordered by a hash of their
// IDs.
func availableReplicas(replicas []replica.Replica) []replica.Replica {
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

// shortSideSize returns how many replicas, from the first, form the short side.
func (u *upstream) shortSideSize(now time.Time, r *Request, open []*replicaState) int {
	if r.PromptTokens == 0 || len(open) < 2 {
		return len(open)
	}
	usual, atMost := shortCapacity(open)
	u.updateAverages(now, open, usual)
	shortLoad, longLoad := u.split.shortLoad+assumedDemand, u.split.longLoad+assumedDemand
	side := int(math.Round(float64(len(open)) * shortLoad / (shortLoad + longLoad)))
	// The short side keeps the replicas that its load needs, even when long-prompt requests queue
	// up.
	minimum := int(math.Ceil(u.split.shortLoad * usual / atMost))
	return min(max(side, minimum, 1), len(open)-1)
}

// assumedDemand is added to each side's load, in replicas, so that an idle side has room for
// its first requests.
const assumedDemand = 0.3

// updateAverages updates the average loads. usualShort is the target number of short-prompt
// requests per replica.
func (u *upstream) updateAverages(now time.Time, open []*replicaState, usualShort float64) {
	runningShort, running, own := 0, 0, 0
	for _, s := range open {
		own += s.running
		runningShort += s.runningShort + s.peersRunningShort
		running += s.running + s.peersRunning
	}
	elapsed := now.Sub(u.split.updatedAt)
	u.split.updatedAt = now
	decay := math.Exp(-elapsed.Seconds() / splitAveragingTime.Seconds())
	u.updateRunningAverages(elapsed, own, running)
	u.split.shortLoad = decay*u.split.shortLoad + (1-decay)*float64(runningShort)/usualShort
	u.split.longLoad = decay*u.split.longLoad + (1-decay)*float64(running-runningShort)/longPerReplica
}

// stallingCost returns the cost of stalling the short-prompt streams at the replica while the
// request's uncached tokens are prefilled.
func (u *upstream) stallingCost(r *Request, s *replicaState, uncached int) float64 {
	if !u.hasLongPrompts(r) {
		return 0
	}
	stall := u.prefillSpeed.PrefillMS(s.pendingPrefill() + uncached)
	part := min(max((stall-stallFrom)/(stallTo-stallFrom), 0), 1)
	return part * stallCost * float64(s.runningShort+s.peersRunningShort)
}

func (u *upstream) sideCost(r *Request, onShortSide bool) float64 {
	switch {
	case r.PromptTokens == 0 || u.hasLongPrompts(r) != onShortSide:
		return 0
	case onShortSide:
		return longOnShortSideCost
	default:
		return shortOnLongSideCost
	}
}
