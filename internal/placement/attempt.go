package placement

import (
	"time"

	"galenatrestle/internal/replica"
)

// Attempt is one request's stay at a replica. It is for one goroutine.
type Attempt struct {
	Replica replica.Replica
	// Choice is what the replica was chosen by.
	Choice Choice
	// CopyFrom is the address of another replica that may have read parts of the
	// prompt which this one has not; empty: none.
	CopyFrom string
	// NeedsPermit says that the replica names a rate: the attempt may begin with a permit
	// only.
	NeedsPermit bool

	upstream  *upstream
	state     *state
	startedAt time.Time
	// reading is what the attempt still counts for among the prompt tokens of its
	// rank.
	reading int
	rank    int
	// work is the prompt tokens that the replica had to read before the first token.
	work int
	// shared are the prompt's shared parts.
	shared []PromptPart
	// tokens is what it takes of the replica's memory.
	tokens int
	light  bool
	ended  bool
	// begunAt is when the answer began.
	begunAt time.Time
}

// PermitGranted notes that there is a permit for the attempt.
func (a *Attempt) PermitGranted(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.startedAt = now
	a.sent(now)
}

// sent notes that the request is on its way to the replica. The lock is held.
func (a *Attempt) sent(now time.Time) {
	s := a.state
	s.cache.add(now, a.shared)
	a.upstream.placed.add(now, s.replica.ID, a.shared)
	if s.waitingSince.IsZero() || s.running == 1 {
		s.waitingSince = now
	}
}

// AnswerStarted notes the first byte of an answer that counts.
func (a *Attempt) AnswerStarted(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.upstream.reading.Observe(a.work, now.Sub(a.startedAt))
	a.state.cache.read(now, a.shared)
	a.begunAt = now
	a.heard(now)
	a.state.recover(now)
}

// ErrorReceived notes that the replica gave a failure of its own.
func (a *Attempt) ErrorReceived(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.heard(now)
	a.state.recover(now)
}

// DataReceived notes a further byte of the answer.
func (a *Attempt) DataReceived(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.heard(now)
}

// heard notes a sign of the replica: the prompt is read by then. The lock is held.
func (a *Attempt) heard(now time.Time) {
	a.read()
	a.state.heardAt = now
}

// read takes the attempt out of the prompts that are being read.
func (a *Attempt) read() {
	a.state.reading.add(a.rank, -a.reading)
	a.reading = 0
}

// End notes how the attempt ended. Further calls do nothing.
func (a *Attempt) End(now time.Time, result Result) {
	if a.ended {
		return
	}
	a.ended = true
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.read()
	a.state.running--
	a.state.tokens -= a.tokens
	if a.light {
		a.state.light--
	}
	if a.state.running == 0 {
		a.state.waitingSince = time.Time{}
	}
	switch result {
	case Cancelled:
	case Answered:
		a.state.heardAt = now
		a.state.recover(now)
		a.upstream.learn(now.Sub(a.startedAt))
		if !a.begunAt.IsZero() {
			a.upstream.learnAnswer(now.Sub(a.begunAt))
		}
	default:
		a.state.fail(now, penalties[result])
	}
}

// learn takes in the time of an answer. The lock is held.
func (u *upstream) learn(took time.Duration) {
	u.workMS += workWeight * (float64(took.Milliseconds()) - u.workMS)
}
