package placement

import "time"

// Choice is what was known of a replica when it was chosen, for the log.
type Choice struct {
	// Cost is the expected cost in milliseconds, Among the number of replicas
	// it was chosen from.
	Cost       float64
	Candidates int
	// FirstTokenTime is the expected time to the first token, of which Own is that for reading
	// this prompt, and Place that until the replica has a place for the request.
	FirstTokenTime time.Duration
	OwnPrefill     time.Duration
	SlotWait       time.Duration
	// MemoryFraction is the part of the replica's memory that the running requests and
	// this one take, each by itself; zero: not known.
	MemoryFraction float64
	// Running counts the requests there, ToRead their prompt tokens that are still
	// to be read, and Ahead the part of these that is read before this request, all
	// with what other nodes told.
	Running        int
	PendingPrefill int
	PrefillAhead   int
	// CachedTokens is the tokens of the prompt that its cache is thought to hold, or that
	// it copies from another replica.
	CachedTokens int
	// FailureScore is the failure score of this node.
	FailureScore float64
	// PrefillSpeed is the prompt tokens that the upstream's replicas are thought to read
	// in a millisecond.
	PrefillSpeed float64
}

// explain tells what the replica was chosen by. The lock is held.
func (u *upstream) explain(now time.Time, r *Request, d *decision) Choice {
	s := d.state
	c := Choice{
		Cost: d.cost, Candidates: len(u.openNow),
		Running: s.running + s.peersRunning, PendingPrefill: s.toRead(), PrefillAhead: s.ahead(r.Rank),
		CachedTokens: d.cached, FailureScore: s.failuresAt(now),
	}
	if r.PromptTokens > 0 {
		c.PrefillSpeed = u.reading.TokensPerMS()
		c.MemoryFraction = u.used(r, s)
		c.OwnPrefill = u.reading.PrefillTime(r.PromptTokens - c.CachedTokens)
		c.SlotWait = time.Duration(u.placeWait(s, r.Rank) * float64(time.Millisecond))
		c.FirstTokenTime = u.reading.PrefillTime(c.PrefillAhead) + c.SlotWait + c.OwnPrefill
	}
	return c
}
