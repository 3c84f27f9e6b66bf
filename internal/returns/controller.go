package returns

import (
	"math/rand/v2"
	"sync"
	"time"

	"galenatrestle/internal/quarantine"
)

// Controller is the returns of one node: its schedules, and the table of all known returns. It is safe for
// concurrent use.
type Controller struct {
	Table *Table

	mu        sync.Mutex
	rand      *rand.Rand
	schedules map[queue]*schedule
}

// queue identifies the calls that wait for the same capacity.
type queue struct {
	upstream string
	rank     int
}

// maxSchedules bounds the schedules. Beyond it all are forgotten, which costs the promises of the moment.
const maxSchedules = 1024

// NewController returns a controller without any returns.
func NewController(random *rand.Rand) *Controller {
	return &Controller{Table: NewTable(), rand: random, schedules: make(map[queue]*schedule)}
}

// schedule returns the schedule of the queue. The lock is held.
func (c *Controller) schedule(q queue) *schedule {
	s, known := c.schedules[q]
	if !known {
		if len(c.schedules) >= maxSchedules {
			clear(c.schedules)
		}
		s = &schedule{}
		c.schedules[q] = s
	}
	return s
}

// Admitted counts a call that was admitted.
func (c *Controller) Admitted(now time.Time, upstream string, rank int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.schedule(queue{upstream, rank}).admit(now)
}

// Reserved returns the time for which returns of the rank that are due soon keep the upstream busy.
func (c *Controller) Reserved(now time.Time, upstream string, rank int) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.schedule(queue{upstream, rank}).reserved(now)
}

// Refusal is a refused call.
type Refusal struct {
	Upstream    string
	Rank        int
	Fingerprint quarantine.Fingerprint
	Arrival     Arrival
	// QueueTime is the expected queue time at the best replica.
	QueueTime time.Duration
	// TimeLeft is the time until the call's deadline; zero: not known.
	TimeLeft time.Duration
}

// Told is what a refused caller is told.
type Told struct {
	RetryAfter time.Duration
	// Promised is whether the caller goes before newcomers when it returns as told.
	Promised bool
}

// Refuse schedules the return of a refused caller. One that returned early is told the rest of its wait; one that
// returned as told gets no second return.
func (c *Controller) Refuse(now time.Time, r Refusal) Told {
	bound := boundFor(r.TimeLeft)
	switch r.Arrival.Kind {
	case Early:
		return Told{RetryAfter: min(r.Arrival.Rest, bound)}
	case AsTold:
		return Told{RetryAfter: bound}
	}
	c.mu.Lock()
	delay, promised := c.schedule(queue{r.Upstream, r.Rank}).refuse(now, r.QueueTime, bound, c.rand.Float64())
	id := c.rand.Uint32()
	c.mu.Unlock()
	if promised {
		c.Table.Add(now, Entry{Fingerprint: r.Fingerprint, ID: id, DueAt: now.Add(delay)}, "")
	}
	return Told{RetryAfter: delay, Promised: promised}
}
