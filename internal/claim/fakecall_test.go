package claim

import (
	"context"
	"net/http"
	"testing"
	"time"

	"galenatrestle/internal/refusal"
)

// recordSend counts a call received by the upstream; a dead node sends nothing.
func (c *cluster) recordSend(node *testNode, key Key) {
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

// callResult is the result returned to the caller of a call; empty if its node died.
type callResult string

const (
	resultRan        callResult = "ran"
	resultRecorded   callResult = "recorded"
	resultInProgress callResult = "in progress"
	resultUnknown    callResult = "unknown"
	resultNotRun     callResult = "not-run"
)

// step is a point in a call at which a fault may be injected.
type step int

const (
	stepNone step = iota
	stepBeforeClaim
	stepAfterClaim
	stepAfterSend
	stepAfterRecord
)

// call makes one unrepeatable call as the gateway does, and kills the node at the given
// step.
func (c *cluster) call(t testing.TB, node *testNode, key Key, body string, killAt step) callResult {
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
	result, err := node.Begin(t.Context(), key, FingerprintOf("POST", "/claims", []byte(body)))
	if killed(stepAfterClaim) {
		return ""
	}
	if err != nil {
		return c.checkRefusal(t, key, runsBefore, refusal.From(err))
	}
	switch result.Verdict {
	case Recorded:
		if string(result.Answer.Body) != answerTo(body) {
			t.Errorf("recorded answer %q for body %q", result.Answer.Body, body)
		}
		return resultRecorded
	case InProgress:
		return resultInProgress
	case Unknown:
		return resultUnknown
	}
	return c.runCall(t, node, result, body, killed)
}

// checkRefusal checks that not-run is returned only if no earlier request with the key
// has run, except with different content.
func (c *cluster) checkRefusal(t testing.TB, key Key, runsBefore int, refused *refusal.Error) callResult {
	t.Helper()
	if refused.Outcome == refusal.Unknown && refused.Reason == refusal.ClaimStoreDown {
		return resultUnknown
	}
	if refused.Outcome != refusal.NotRun {
		t.Errorf("refusal %v has outcome %s", refused, refused.Outcome)
	}
	if runsBefore > 0 && refused.Reason != refusal.IdempotencyKeyReused {
		t.Errorf("%v had run, but a repeat got not-run: %v", key, refused)
	}
	return resultNotRun
}

func (c *cluster) runCall(t testing.TB, node *testNode, result BeginResult, body string, killed func(step) bool) callResult {
	outcome := OutcomeRecorded
	if c.nextOutcome != nil {
		outcome = c.nextOutcome()
	}
	if runs := c.runs(result.Token.Key); runs > 0 {
		t.Errorf("%v has run %d times, but a new claim got Run", result.Token.Key, runs)
	}
	if outcome != OutcomeReleased {
		c.recordSend(node, result.Token.Key)
	}
	if killed(stepAfterSend) {
		return ""
	}
	answer := Answer{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte(answerTo(body))}
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	_ = node.Finish(ctx, result.Token, Outcome{Kind: outcome, Answer: answer})
	if killed(stepAfterRecord) {
		return ""
	}
	return map[OutcomeKind]callResult{OutcomeRecorded: resultRan, OutcomeReleased: resultNotRun, OutcomeUnknown: resultUnknown}[outcome]
}

func answerTo(body string) string { return "answer to " + body }
