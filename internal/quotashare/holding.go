package quotashare

import "time"

const (
	// lackPart is the part of its share from which on a node needs more.
	lackPart = 0.9
	// risePart and riseFloor are how far demand grows past what was reported
	// before it is reported anew; the floor is in even parts of the quota.
	risePart  = 1.5
	riseFloor = 0.25
	// fallPart is how far demand falls below what was reported before the share
	// is given back early, fallTime how soon at the earliest.
	fallPart = 0.25
	fallTime = 10 * time.Second
	// quietPart is the part of the silent node's bound below which demand is
	// withdrawn.
	quietPart = 0.5
	// never is the interval of a report that is not due at all.
	never = 1 << 62
)

// holding is what one node knows of one workspace that it was lately asked for.
type holding struct {
	workspace string
	key       Key
	owner     string
	demand    float64
	// since is when the demand was first seen.
	since time.Time
	// asked is when the demand was last reported, zero where this owner was not
	// told of it.
	asked    time.Time
	reported float64
	share    float64
	// expires is when the share ends; zero where there is none.
	expires   time.Time
	contended bool
	failed    bool
}

// shareAt returns the granted share, or the even part.
func (h *holding) shareAt(now time.Time, even float64) float64 {
	if now.Before(h.expires) {
		return h.share
	}
	return even
}

// interval is the time after which the demand is to be reported again.
func (h *holding) interval(now time.Time, s Settings, even float64) time.Duration {
	silent := s.Floor * even
	switch {
	case h.asked.IsZero() && h.demand < silent:
		return never
	case h.asked.IsZero():
		return s.Interval
	case h.contended || h.failed:
		return s.Contended
	case h.demand > lackPart*h.shareAt(now, even):
		return s.Interval
	case h.demand > risePart*h.reported+riseFloor*even:
		return s.Interval
	case h.demand < fallPart*h.reported && h.reported > even:
		return fallTime
	default:
		return s.Renew
	}
}

// overdue is the time since the last report, in intervals: from 1 on a report
// is due.
func (h *holding) overdue(now time.Time, s Settings, even float64) float64 {
	last := h.asked
	if last.IsZero() {
		// What is new is due at once.
		last = h.since.Add(-s.Interval)
	}
	return now.Sub(last).Seconds() / h.interval(now, s, even).Seconds()
}

// toReport is the demand as reported: zero where it is not worth a share.
func (h *holding) toReport(s Settings, even float64) float64 {
	if h.demand < quietPart*s.Floor*even {
		return 0
	}
	return min(h.demand, 1)
}

// moveTo makes another node the owner: it is to be told, and the share of the
// one before lasts for the grace alone.
func (h *holding) moveTo(now time.Time, owner string, grace time.Duration) {
	h.owner = owner
	h.since, h.asked = now, time.Time{}
	h.reported, h.contended, h.failed = 0, false, false
	h.shorten(now.Add(grace))
}

func (h *holding) shorten(end time.Time) {
	if h.expires.After(end) {
		h.expires = end
	}
}
