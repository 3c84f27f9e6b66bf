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

	upstream  *upstream
	state     *state
	startedAt time.Time
	// prefill is what the attempt still counts for among the prompt tokens.
	prefill int
	// tokens is what it takes of the replica's memory.
	tokens int
	light  bool
	ended  bool
}

// Begun notes the first byte of the answer.
func (a *Attempt) Begun(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.read()
	a.state.heardAt = now
	a.state.recover(now)
}

// Heard notes a further byte of the answer.
func (a *Attempt) Heard(now time.Time) {
	a.upstream.mu.Lock()
	defer a.upstream.mu.Unlock()
	a.state.heardAt = now
}

// read takes the attempt out of the prompts that are being read.
func (a *Attempt) read() {
	a.state.prefill -= a.prefill
	a.prefill = 0
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
	default:
		a.state.fail(now, penalties[result])
	}
}

// learn takes in the time of an answer. The lock is held.
func (u *upstream) learn(took time.Duration) {
	u.workMS += workWeight * (float64(took.Milliseconds()) - u.workMS)
}
