package routertest

import (
	"cmp"
	"slices"
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// clairvoyant is a reference scheduler that knows answer lengths and stragglers and never
// exceeds the knee of an engine. Within a tier, jobs that can still meet their target go first, by
// slack. Jobs that cannot finish in time are refused.
type clairvoyant struct {
	run   *run
	jobs  map[string]*job
	tiers [][]*job
}

func newClairvoyant(r *run) *clairvoyant {
	c := &clairvoyant{run: r, jobs: make(map[string]*job), tiers: make([][]*job, len(profiles))}
	for _, j := range r.pending {
		c.jobs[j.request.ID] = j
	}
	return c
}

func jobServiceTime(j *job) time.Duration {
	return time.Duration(profiles[j.classIndex].serviceTime(float64(j.answerTokens)) * float64(time.Second))
}

// Submit implements decider. It keeps each tier ordered by slack.
func (c *clairvoyant) Submit(_ time.Time, request router.Request) *refusal.Error {
	j := c.jobs[request.ID]
	latestStart := j.request.AnswerBy.Add(-jobServiceTime(j))
	i, _ := slices.BinarySearchFunc(c.tiers[j.classIndex], latestStart, func(other *job, t time.Time) int {
		return cmp.Compare(other.request.AnswerBy.Add(-jobServiceTime(other)).UnixNano(), t.UnixNano())
	})
	c.tiers[j.classIndex] = slices.Insert(c.tiers[j.classIndex], i, j)
	return nil
}

func (c *clairvoyant) Decide(now time.Time) []router.Decision {
	var decisions []router.Decision
	free := c.freeSlots()
	for tier := range c.tiers {
		decisions = c.refuseTooLate(now, tier, decisions)
		for len(free) > 0 && len(c.tiers[tier]) > 0 {
			j := c.popNext(now, tier)
			decisions = append(decisions, router.Decision{ID: j.request.ID, Replica: &router.Replica{Name: free[0]}})
			free = free[1:]
		}
	}
	return decisions
}

func (c *clairvoyant) refuseTooLate(now time.Time, tier int, decisions []router.Decision) []router.Decision {
	c.tiers[tier] = slices.DeleteFunc(c.tiers[tier], func(j *job) bool {
		tooLate := now.Add(jobServiceTime(j)).After(j.request.GiveUpAt)
		if tooLate {
			refused := refusal.New(refusal.TooLate, "queue", "")
			decisions = append(decisions, router.Decision{ID: j.request.ID, Refused: refused})
		}
		return tooLate
	})
	return decisions
}

// popNext prefers the first job that can meet its target.
func (c *clairvoyant) popNext(now time.Time, tier int) *job {
	queue := c.tiers[tier]
	i := slices.IndexFunc(queue, func(j *job) bool {
		return !now.Add(jobServiceTime(j)).After(j.request.AnswerBy)
	})
	i = max(i, 0)
	j := queue[i]
	c.tiers[tier] = slices.Delete(queue, i, i+1)
	return j
}

// freeSlots lists a replica name for each free slot, least loaded first, without stragglers.
func (c *clairvoyant) freeSlots() []string {
	var names []string
	for batchSize := range Knee {
		for _, e := range c.run.orderedEngines {
			if e.slowdown == 1 && len(e.running) <= batchSize {
				names = append(names, e.name)
			}
		}
	}
	return names
}

func (c *clairvoyant) RecordFirstToken(time.Time, string) {}

func (c *clairvoyant) RecordTokens(time.Time, string, int) {}

func (c *clairvoyant) Finish(time.Time, string, router.Result) {}

func (c *clairvoyant) RecordLoad(time.Time, string, router.LoadReport) {}
