package routertest

import (
	"cmp"
	"slices"
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// clairvoyant is the order to compare with: one queue before all replicas,
// lengths and stragglers known, every engine kept at its knee. Highest tier
// first; within a tier first those that can still meet their target, by slack;
// whatever cannot be answered in time is refused before it runs.
type clairvoyant struct {
	run     *run
	lengths map[string]*job
	tiers   [][]*job
}

func newClairvoyant(r *run) *clairvoyant {
	c := &clairvoyant{run: r, lengths: make(map[string]*job), tiers: make([][]*job, len(profiles))}
	for _, j := range r.pending {
		c.lengths[j.request.ID] = j
	}
	return c
}

func service(j *job) time.Duration {
	return time.Duration(profiles[j.class].serviceTime(float64(j.length)) * float64(time.Second))
}

// Submit implements decider; each tier is kept in order of slack.
func (c *clairvoyant) Submit(_ time.Time, request router.Request) *refusal.Error {
	j := c.lengths[request.ID]
	latest := j.request.AnswerBy.Add(-service(j))
	i, _ := slices.BinarySearchFunc(c.tiers[j.class], latest, func(other *job, t time.Time) int {
		return cmp.Compare(other.request.AnswerBy.Add(-service(other)).UnixNano(), t.UnixNano())
	})
	c.tiers[j.class] = slices.Insert(c.tiers[j.class], i, j)
	return nil
}

// Decide implements decider.
func (c *clairvoyant) Decide(now time.Time) []router.Decision {
	var events []router.Decision
	free := c.free()
	for tier := range c.tiers {
		events = c.refuseUseless(now, tier, events)
		for len(free) > 0 && len(c.tiers[tier]) > 0 {
			j := c.take(now, tier)
			events = append(events, router.Decision{ID: j.request.ID, Replica: &router.Replica{Name: free[0]}})
			free = free[1:]
		}
	}
	return events
}

func (c *clairvoyant) refuseUseless(now time.Time, tier int, events []router.Decision) []router.Decision {
	c.tiers[tier] = slices.DeleteFunc(c.tiers[tier], func(j *job) bool {
		useless := now.Add(service(j)).After(j.request.GiveUpAt)
		if useless {
			refused := refusal.New(refusal.TooLate, "queue", "")
			events = append(events, router.Decision{ID: j.request.ID, Refused: refused})
		}
		return useless
	})
	return events
}

// take returns the first job that can meet its target, else the first.
func (c *clairvoyant) take(now time.Time, tier int) *job {
	list := c.tiers[tier]
	i := slices.IndexFunc(list, func(j *job) bool {
		return !now.Add(service(j)).After(j.request.AnswerBy)
	})
	i = max(i, 0)
	j := list[i]
	c.tiers[tier] = slices.Delete(list, i, i+1)
	return j
}

// free lists the free slots, round by round over the replicas.
func (c *clairvoyant) free() []string {
	var names []string
	for level := range Knee {
		for _, e := range c.run.order {
			if e.slow == 1 && len(e.running) <= level {
				names = append(names, e.name)
			}
		}
	}
	return names
}

// RecordFirstToken implements decider.
func (c *clairvoyant) RecordFirstToken(time.Time, string) {}

// RecordTokens implements decider.
func (c *clairvoyant) RecordTokens(time.Time, string, int) {}

// Finish implements decider.
func (c *clairvoyant) Finish(time.Time, string, router.Result) {}

// RecordLoad implements decider.
func (c *clairvoyant) RecordLoad(time.Time, string, router.LoadReport) {}
