package placement

import "time"

// An engine runs a limited number of requests concurrently; the others wait for a slot,
// however short their prompts are. A burst of short prompts with long answers fills all slots
// while the prefill backlog is still small, so slot waits are modelled separately.
const (
	// targetSlotFraction is the target fraction of a replica's slots used by short-prompt requests.
	targetSlotFraction = 0.85
	// answerWeight is the weight of one observation in the average answer time.
	answerWeight = 0.05
)

// shortCapacity returns the target and the maximum number of short-prompt requests per
// replica.
func shortCapacity(available []*replicaState) (target, maximum float64) {
	slots := available[0].replica.Slots
	if slots <= 0 {
		return shortPerReplica, maxShortPerReplica
	}
	return min(shortPerReplica, targetSlotFraction*float64(slots)), min(maxShortPerReplica, float64(slots))
}

// slotWaitMS returns the expected time, in milliseconds, until the replica has a free slot for
// a request of the rank. Engines assign slots in prefill order, so only the waiting requests
// that are prefilled earlier count.
func (u *upstream) slotWaitMS(s *replicaState, rank int) float64 {
	slots := s.replica.Slots
	waiting := s.running + s.peersRunning - slots
	if slots <= 0 || waiting < 0 {
		return 0
	}
	ahead := float64(waiting)
	if pending := s.pendingPrefill(); pending > 0 {
		ahead *= float64(s.prefillAhead(rank)) / float64(pending)
	}
	_, decode := u.speedFactors(s)
	return u.answerMS * (ahead + 1) / float64(slots) / decode
}

func (u *upstream) learnAnswerTime(took time.Duration) {
	ms := float64(took.Milliseconds())
	if u.answerMS == 0 {
		u.answerMS = ms
	}
	u.answerMS += answerWeight * (ms - u.answerMS)
}
