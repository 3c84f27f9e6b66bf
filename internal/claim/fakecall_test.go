package claim

import (
	"context"
	"net/http"
	"testing"
	"time"

	"galenatrestle/internal/refusal"
)

// send is the upstream's list of calls; a dead node sends nothing.
func (c *cluster) send(node *testNode, key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !node.dead {
		c.sent[key]++
	}
}

func (c *cluster) runs(key Key) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.sent[key]
}

// told is what the caller of a call was told, or nothing where its node died.
type told string

const (
	toldRan        told = "ran"
	toldRecorded   told = "recorded"
	toldInProgress told = "in progress"
	toldUnknown    told = "unknown"
	toldNotRun     told = "not-run"
)

// step is a point in a call at which its node may be killed.
type step int

const (
	stepNone step = iota
	stepBeforeClaim
	stepAfterClaim
	stepAfterSend
	stepAfterRecord
)

// call does what the gateway does with one unrepeatable call, and kills the
// node at the step.
func (c *cluster) call(t testing.TB, node *testNode, key Key, body string, killAt step) told {
	t.Helper()
	killed := func(at step) bool {
		if at == killAt {
			c.kill(node)
		}
		return c.isDead(node)
	}
	if killed(stepBeforeClaim) {
		return ""
	}
	runsBefore := c.runs(key)
	grant, err := node.Begin(t.Context(), key, FingerprintOf("POST", "/claims", []byte(body)))
	if killed(stepAfterClaim) {
		return ""
	}
	if err != nil {
		return c.refusedCall(t, key, runsBefore, refusal.From(err))
	}
	switch grant.Verdict {
	case Recorded:
		if string(grant.Answer.Body) != answerTo(body) {
			t.Errorf("recorded answer %q for body %q", grant.Answer.Body, body)
		}
		return toldRecorded
	case InProgress:
		return toldInProgress
	case Unknown:
		return toldUnknown
	}
	return c.runCall(t, node, grant, body, killed)
}

// refusedCall checks a refusal: not-run is told only where no earlier request
// of the key had run, except of another content.
func (c *cluster) refusedCall(t testing.TB, key Key, runsBefore int, refused *refusal.Error) told {
	t.Helper()
	if refused.Outcome == refusal.Unknown && refused.Reason == refusal.ClaimStoreDown {
		return toldUnknown
	}
	if refused.Outcome != refusal.NotRun {
		t.Errorf("refusal %v has outcome %s", refused, refused.Outcome)
	}
	if runsBefore > 0 && refused.Reason != refusal.IdempotencyKeyReused {
		t.Errorf("%v had run, yet a repeat was told not-run: %v", key, refused)
	}
	return toldNotRun
}

// runCall sends a claimed call and records how it ended.
func (c *cluster) runCall(t testing.TB, node *testNode, grant BeginResult, body string, killed func(step) bool) told {
	ends := OutcomeRecorded
	if c.ends != nil {
		ends = c.ends()
	}
	if runs := c.runs(grant.Token.Key); runs > 0 {
		t.Errorf("%v has run %d times, yet may run", grant.Token.Key, runs)
	}
	if ends != OutcomeReleased {
		c.send(node, grant.Token.Key)
	}
	if killed(stepAfterSend) {
		return ""
	}
	answer := Answer{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(answerTo(body))}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_ = node.Finish(ctx, grant.Token, Outcome{Kind: ends, Answer: answer})
	if killed(stepAfterRecord) {
		return ""
	}
	return map[OutcomeKind]told{OutcomeRecorded: toldRan, OutcomeReleased: toldNotRun, OutcomeUnknown: toldUnknown}[ends]
}

func answerTo(body string) string { return "answer to " + body }
