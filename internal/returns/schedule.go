package returns

import (
	"math"
	"time"

	"galenatrestle/internal/overload"
)

const (
	// rateAveragingTime is the averaging time of the rate at which calls are admitted: some ten calls of a
	// node of 75, and shorter than a burst.
	rateAveragingTime = 2 * time.Second
	// returnPart is the part of the admitted calls that may be returns. A sustained overload refuses as many
	// callers in the end, however many of them return: with more, newcomers would be refused only so
	// that others can return.
	returnPart = 0.5
	// minDelay is the shortest delay, unless the time left is too short. Announcements reach most nodes of
	// a fleet with hubs within three rounds of 200 to 250 ms.
	minDelay = 600 * time.Millisecond
	// MaxDelay leaves a caller that returns a little late a second until its entry expires.
	MaxDelay = keepTime - time.Second
	// reserveHorizon is how far ahead returns are due for which newcomers leave room: about the time that
	// admitted prompts wait in a full queue.
	reserveHorizon = 500 * time.Millisecond
	// maxDue bounds the returns that a schedule keeps.
	maxDue = 256
)

// schedule spreads the returns of the refused callers of one upstream and rank. It is not safe for
// concurrent use.
type schedule struct {
	// admitted is the decayed number of admitted calls as of ratedAt. since is when the first one was.
	admitted       float64
	ratedAt, since time.Time
	// due is the times of the returns that were promised, in order.
	due []time.Time
}

// admit counts an admitted call.
func (s *schedule) admit(now time.Time) {
	if s.since.IsZero() {
		s.since, s.ratedAt = now, now
	}
	s.admitted, s.ratedAt = s.decayed(now)+1, now
}

func (s *schedule) decayed(now time.Time) float64 {
	return s.admitted * math.Exp(-max(now.Sub(s.ratedAt), 0).Seconds()/rateAveragingTime.Seconds())
}

// interval returns the average time between two admitted calls; zero: none is known.
func (s *schedule) interval(now time.Time) time.Duration {
	admitted := s.decayed(now)
	if admitted < 1 {
		return 0
	}
	// Soon after the first call, the sum covers less than the averaging time.
	covered := rateAveragingTime.Seconds() * (1 - math.Exp(-max(now.Sub(s.since), 0).Seconds()/rateAveragingTime.Seconds()))
	return time.Duration(max(covered, minCovered.Seconds()) / admitted * float64(time.Second))
}

// minCovered is the shortest time from which a rate is computed.
const minCovered = 200 * time.Millisecond

// refuse returns the delay after which a refused caller is to return, and whether there will be capacity
// for it then. queueTime is the time in which the upstream works off its queue, bound the longest delay.
// Without capacity by then, random, in [0, 1), spreads the delay.
func (s *schedule) refuse(now time.Time, queueTime, bound time.Duration, random float64) (time.Duration, bool) {
	earliest := now.Add(min(max(queueTime, min(minDelay, bound/2)), bound))
	interval := s.interval(now)
	if interval == 0 || len(s.due) >= maxDue {
		return withoutPromise(bound, random), false
	}
	at := earliest
	if n := len(s.due); n > 0 {
		if next := s.due[n-1].Add(time.Duration(float64(interval) / returnPart)); next.After(at) {
			at = next
		}
	}
	if at.Sub(now) > bound {
		return withoutPromise(bound, random), false
	}
	s.due = append(s.due, at)
	return at.Sub(now), true
}

// withoutPromise returns a delay for a caller for which no capacity is expected within the bound: many are
// refused in the same moment and must not return in the same moment.
func withoutPromise(bound time.Duration, random float64) time.Duration {
	return time.Duration((1 + random) / 2 * float64(bound))
}

// reserved returns the time that the returns take that are due soon.
func (s *schedule) reserved(now time.Time) time.Duration {
	for len(s.due) > 0 && now.Sub(s.due[0]) > earlyTolerance {
		s.due = s.due[1:]
	}
	count := 0
	for count < len(s.due) && s.due[count].Sub(now) <= reserveHorizon {
		count++
	}
	return time.Duration(count) * s.interval(now)
}

// boundMargin keeps a delay within the caller's bound, although the caller has less time left when it
// receives the refusal: the margin covers a twentieth of the time left.
const boundMargin = 0.95

// boundFor returns the longest delay for a caller with that time left.
func boundFor(timeLeft time.Duration) time.Duration {
	return time.Duration(boundMargin * float64(overload.BoundRetryDelay(MaxDelay, timeLeft)))
}
