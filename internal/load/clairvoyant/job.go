package clairvoyant

import "time"

// Job is one request with all that an order can know of it. Times count from
// the start of the run.
type Job struct {
	// Class is the place of the job's class in the caller's list.
	Class int
	// Tier is the class's tier; 0 is the highest.
	Tier int
	// Arrives is when the request comes.
	Arrives time.Duration
	// First is the time from the start to the first token, Service that to the
	// whole answer.
	First, Service time.Duration
	// FirstBy and AnswerBy are the targets, FirstBy zero where there is none.
	FirstBy, AnswerBy time.Duration
	// GiveUpAt is when the caller is gone; zero: never.
	GiveUpAt time.Duration
	// Tokens is the length of the answer.
	Tokens int
}

// latest is the latest start that meets the targets.
func (j *Job) latest() time.Duration {
	latest := j.AnswerBy - j.Service
	if j.FirstBy > 0 {
		latest = min(latest, j.FirstBy-j.First)
	}
	return latest
}

// useless says whether the caller would be gone before the end.
func (j *Job) useless(start time.Duration) bool {
	return j.GiveUpAt > 0 && start+j.Service > j.GiveUpAt
}

// before orders two waiting jobs: by tier, then those that can still meet their
// targets, then by slack.
func (j *Job) before(other *Job, now time.Duration) bool {
	if j.Tier != other.Tier {
		return j.Tier < other.Tier
	}
	late, otherLate := now > j.latest(), now > other.latest()
	if late != otherLate {
		return otherLate
	}
	return j.latest() < other.latest()
}
