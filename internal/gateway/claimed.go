package gateway

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/config"
	"galenatrestle/internal/explain"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/upstream"
)

const (
	// inProgressRetryAfter is when a repeat of a running call is worthwhile.
	inProgressRetryAfter = time.Second
	// finishTimeout bounds how long the caller waits for its answer to be
	// recorded; the ledger goes on recording it in the background.
	finishTimeout = 2 * time.Second
	headerReplay  = "Trestle-Replayed"
	// headerBodyDropped says that the call ran and that its answer is no longer
	// kept: the status is the one of the run, the body is empty.
	headerBodyDropped = "Trestle-Body-Dropped"
)

// serveClaimed runs an unrepeatable call at most once: claim, call, record.
func (s *Server) serveClaimed(ctx context.Context, w http.ResponseWriter, sc *serviceCall) {
	grant, err := s.claim(ctx, sc)
	if err != nil {
		s.refuseCall(w, sc.call, err)
		return
	}
	sc.call.timeline.Add(time.Now(), &explain.Claimed{Verdict: grant.Verdict.String()})
	switch grant.Verdict {
	case claim.Run:
		s.runClaimed(ctx, w, sc, grant.Token)
	case claim.Recorded:
		s.replay(w, sc, grant.Answer)
	case claim.InProgress:
		s.refuseCall(w, sc.call, inProgress())
	default:
		s.refuseCall(w, sc.call, outcomeUnknown())
	}
}

const (
	// minClaimWait and maxClaimWait bound how long a call waits to be claimed. The longest wait
	// covers the rest of a failed holder's lease and the takeover of its shard.
	minClaimWait = 2 * time.Second
	maxClaimWait = 13 * time.Second
)

// claimWait returns how long a call of the class waits to be claimed: half of its target, and half of
// the time left until its caller gives up, so that the other half is left for the call.
func claimWait(class *config.Class, left time.Duration) time.Duration {
	return min(max(class.TargetAnswer.Std()/2, minClaimWait), maxClaimWait, left/2)
}

// claim claims the call. Over the quota nothing new is claimed, but a repeat
// is answered: its call has been counted, and asking again is how a caller
// learns of an outcome that it must not guess.
func (s *Server) claim(ctx context.Context, sc *serviceCall) (claim.BeginResult, error) {
	ctx, cancel := context.WithTimeout(ctx, claimWait(sc.call.class, time.Until(sc.call.giveUpAt)))
	defer cancel()
	refused := s.useRequest(sc.call)
	if refused == nil {
		return s.options.Ledger.Begin(ctx, sc.claimKey(), sc.fingerprint())
	}
	grant, known, err := s.options.Ledger.Lookup(ctx, sc.claimKey(), sc.fingerprint())
	if err == nil && !known {
		err = refused
	}
	return grant, err
}

func (sc *serviceCall) claimKey() claim.Key {
	return claim.Key{
		Workspace:      sc.call.workspace.Name,
		Upstream:       sc.upstream.Name,
		IdempotencyKey: sc.call.idempotencyKey,
	}
}

func (sc *serviceCall) fingerprint() claim.Fingerprint {
	return claim.FingerprintOf(sc.wire.Method, sc.wire.Path, sc.wire.Body)
}

// runClaimed makes the claimed call. Once begun it is not cut by a caller that
// leaves: its outcome is wanted by the caller's repeat.
func (s *Server) runClaimed(ctx context.Context, w http.ResponseWriter, sc *serviceCall, token claim.Token) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), sc.call.giveUpAt)
	defer cancel()
	done, refused := s.callUntilRun(ctx, sc)
	s.finishClaim(ctx, token, claimOutcome(done.answer, refused))
	if refused != nil {
		w.Header().Set(headerAttempts, strconv.Itoa(done.attempts))
		s.refuseCall(w, sc.call, refused)
		return
	}
	s.answerService(w, sc, done)
}

// finishClaim records the outcome. A failure is logged only: the ledger goes
// on in the background, and until then repeats are told that it is in progress.
func (s *Server) finishClaim(ctx context.Context, token claim.Token, outcome claim.Outcome) {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), finishTimeout)
	defer cancel()
	if err := s.options.Ledger.Finish(ctx, token, outcome); err != nil {
		s.options.Log.WithError(err).WithField("step", "record").Warn("outcome not recorded yet")
	}
}

// claimOutcome tells what is certain after the call.
func claimOutcome(answer *upstream.ServiceAnswer, refused *refusal.Error) claim.Outcome {
	switch {
	case refused == nil:
		return claim.Outcome{
			Kind:   claim.OutcomeRecorded,
			Answer: claim.Answer{Status: answer.Status, Header: answer.Header, Body: answer.Body},
		}
	case refused.Outcome == refusal.NotRun:
		return claim.Outcome{Kind: claim.OutcomeReleased}
	default:
		return claim.Outcome{Kind: claim.OutcomeUnknown}
	}
}

// replay answers a repeat with what the one run answered.
func (s *Server) replay(w http.ResponseWriter, sc *serviceCall, answer claim.Answer) {
	s.answered(sc.call, time.Time{}, time.Now(), 0)
	writeReplay(w, sc.upstream.Name, answer)
}

// writeReplay writes the recorded answer, or its status alone where the rest is
// no longer kept.
func writeReplay(w http.ResponseWriter, upstreamName string, answer claim.Answer) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(headerReplay, "true")
	header.Set(headerUpstream, upstreamName)
	header.Set(headerAttempts, "0")
	if answer.BodyDropped {
		header.Set(headerBodyDropped, "true")
	}
	giveTime(w, len(answer.Body))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

func inProgress() *refusal.Error {
	return &refusal.Error{
		Reason: refusal.InProgress, Outcome: refusal.Unknown, Step: "claim",
		Message:    "the call with this idempotency key is running; ask again for its answer",
		RetryAfter: inProgressRetryAfter,
	}
}

func outcomeUnknown() *refusal.Error {
	return &refusal.Error{
		Reason: refusal.OutcomeUnknown, Outcome: refusal.Unknown, Step: "claim",
		Message: "the call with this idempotency key may have run and will not be run again; check with the service",
	}
}
