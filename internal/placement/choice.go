package placement

import "time"

// Choice describes, for the log, why a replica was chosen.
type Choice struct {
	// Cost is the expected cost in milliseconds, including the random jitter.
	Cost float64
	// AvailableReplicas is the number of replicas that accept new requests, sampled or not.
	AvailableReplicas int
	// FirstTokenTime is the expected time to the first token. It includes OwnPrefill, the time to
	// prefill this prompt, and SlotWait, the time until the replica has a free slot. For a plain service
	// with ServiceAdmission it is the expected time to the answer, and OwnPrefill the service time.
	FirstTokenTime time.Duration
	OwnPrefill     time.Duration
	SlotWait       time.Duration
	// MemoryFraction is the fraction of the replica's memory taken by the running requests and
	// this one; zero: not known.
	MemoryFraction float64
	// Running is the number of requests at the replica, PendingPrefill their prompt tokens not yet
	// prefilled, and PrefillAhead those of them that are prefilled before this request. All
	// include the loads reported by other nodes.
	Running        int
	PendingPrefill int
	PrefillAhead   int
	// CachedTokens is the number of prompt tokens that the replica is expected to have cached or
	// to copy from another replica.
	CachedTokens int
	// Held is the number of replicas of a plain service that get no calls while others have capacity; zero
	// without ServiceAdmission.
	Held int
	// LoadsAge is the age of the other nodes' loads; zero: there are none.
	LoadsAge time.Duration
	// FailureScore is this node's failure score of the replica.
	FailureScore float64
	// PrefillSpeed is the estimated prefill speed of the replica, in tokens per millisecond; that of
	// the upstream's replicas if the speeds of single replicas are not estimated.
	PrefillSpeed float64
	// Objective is nil if choices disregard objectives.
	Objective *ObjectiveChoice
}

// newChoice is called with the lock held.
func (u *upstream) newChoice(now time.Time, r *Request, d *decision) Choice {
	s := d.state
	c := Choice{
		Cost: d.cost, AvailableReplicas: len(u.available),
		Running: s.running + s.peersRunning, PendingPrefill: s.pendingPrefill(), PrefillAhead: s.prefillAhead(r.Rank),
		CachedTokens: d.cached, FailureScore: s.failureScoreAt(now),
	}
	if !u.peersAt.IsZero() {
		c.LoadsAge = now.Sub(u.peersAt)
	}
	if r.PromptTokens > 0 {
		prefill, _ := u.speedFactors(s)
		c.PrefillSpeed = u.prefillSpeed.TokensPerMS() * prefill
		c.Objective = u.newObjectiveChoice(now, r, d)
		c.MemoryFraction = u.memoryFraction(r, s)
		c.OwnPrefill = u.prefillTime(s, r.PromptTokens-c.CachedTokens)
		c.SlotWait = msDuration(u.slotWaitMS(s, r.Rank))
		c.FirstTokenTime = u.prefillTime(s, c.PrefillAhead) + c.SlotWait + c.OwnPrefill
	} else if u.service != nil {
		u.addService(now, s, &c)
	}
	return c
}
