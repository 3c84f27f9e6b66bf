package placement

import "time"

// Choice is what was known of a replica when it was chosen, for the log.
type Choice struct {
	// Cost is the expected cost in milliseconds, Among the number of replicas
	// it was chosen from.
	Cost  float64
	Among int
	// Wait is the expected time to the first token, of which Own is that for reading
	// this prompt, and Place that until the replica has a place for the request.
	Wait  time.Duration
	Own   time.Duration
	Place time.Duration
	// Used is the part of the replica's memory that the running requests and
	// this one take, each by itself; zero: not known.
	Used float64
	// Running counts the requests there, ToRead their prompt tokens that are still
	// to be read, and Ahead the part of these that is read before this request, all
	// with what other nodes told.
	Running int
	ToRead  int
	Ahead   int
	// Cached is the tokens of the prompt that its cache is thought to hold, or that
	// it copies from another replica.
	Cached int
	// Failures is the failure score of this node.
	Failures float64
	// ReadSpeed is the prompt tokens that the upstream's replicas are thought to read
	// in a millisecond.
	ReadSpeed float64
}

// explain tells what the replica was chosen by. The lock is held.
func (u *upstream) explain(now time.Time, r *Request, d *decision) Choice {
	s := d.state
	c := Choice{
		Cost: d.cost, Among: len(u.openNow),
		Running: s.running + s.peersRunning, ToRead: s.toRead(), Ahead: s.ahead(r.Rank),
		Cached: d.cached, Failures: s.failuresAt(now),
	}
	if r.PromptTokens > 0 {
		c.ReadSpeed = u.reading.TokensPerMS()
		c.Used = u.used(r, s)
		c.Own = u.reading.Time(r.PromptTokens - c.Cached)
		c.Place = time.Duration(u.placeWait(s, r.Rank) * float64(time.Millisecond))
		c.Wait = u.reading.Time(c.Ahead) + c.Place + c.Own
	}
	return c
}
