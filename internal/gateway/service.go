package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/retry"
	"galenatrestle/internal/router"
	"galenatrestle/internal/upstream"
)

// serviceCall is a checked call of a plain service.
type serviceCall struct {
	call     *call
	upstream *config.Upstream
	// rule is the rule by which the call may not be repeated, nil for none.
	rule *config.Rule
	wire upstream.ServiceCall
	// counted says that the workspace's quota has the request.
	counted bool
}

// service answers ANY /services/{upstream}/{path...}.
func (s *Server) service(w http.ResponseWriter, r *http.Request) {
	c, err := s.check(r)
	if err != nil {
		s.refuse(w, err)
		return
	}
	w.Header().Set(headerRequestID, c.id)
	sc, err := parseService(c, w, r)
	if err != nil {
		s.refuseCall(w, c, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.giveUpAt)
	defer cancel()
	for !s.elsewhere(w, r, c, sc.upstream.Name, sc.wire.Body) {
		if s.serveCall(ctx, w, sc) {
			return
		}
	}
}

// parseService checks a call of a plain service.
func parseService(c *call, w http.ResponseWriter, r *http.Request) (*serviceCall, error) {
	name := r.PathValue("upstream")
	target, ok := c.index.Upstream(name)
	if !ok || target.Kind != config.KindService {
		return nil, named(refusal.UnknownUpstream, "upstream", name, "no such plain service")
	}
	if err := allowed(c, name); err != nil {
		return nil, err
	}
	body, err := readBody(c, w, r)
	if err != nil {
		return nil, err
	}
	servicePath := "/" + r.PathValue("path")
	if err := checkServicePath(servicePath); err != nil {
		return nil, err
	}
	sc := &serviceCall{call: c, upstream: target, rule: ruleFor(target, r.Method, servicePath)}
	if sc.rule != nil && !sc.rule.KeyOptional && c.idempotencyKey == "" {
		return nil, named(refusal.IdempotencyKeyRequired, headerIdempotencyKey, "", "this call may not be repeated: send a key that names it")
	}
	sc.wire = upstream.ServiceCall{
		ID:           c.id,
		Method:       r.Method,
		Path:         withQuery(servicePath, r.URL.RawQuery),
		Header:       r.Header,
		Body:         body,
		Unrepeatable: sc.rule != nil,
	}
	return sc, nil
}

// serveCall runs the call, at most once where it may not be repeated, and
// answers. It returns false, without an answer, for one without a claim whose
// upstream moved away while it waited.
func (s *Server) serveCall(ctx context.Context, w http.ResponseWriter, sc *serviceCall) bool {
	if sc.rule != nil && sc.call.idempotencyKey != "" {
		s.serveClaimed(ctx, w, sc)
		return true
	}
	if err := s.countRequest(sc); err != nil {
		s.refuseCall(w, sc.call, err)
		return true
	}
	served, refused := s.callUntilRun(ctx, sc)
	if refused != nil && hasMoved(refused) {
		return false
	}
	if refused != nil {
		w.Header().Set(headerAttempts, strconv.Itoa(served.attempts))
		s.refuseCall(w, sc.call, refused)
		return true
	}
	s.answerService(w, sc, served)
	return true
}

// countRequest takes the call from its workspace's quota, once.
func (s *Server) countRequest(sc *serviceCall) error {
	if sc.counted {
		return nil
	}
	sc.counted = true
	return s.useRequest(sc.call)
}

// served is how a call of a plain service came to its end.
type served struct {
	answer   *upstream.ServiceAnswer
	replica  string
	attempts int
}

// callUntilRun tries replicas until one has answered or no further attempt is
// allowed. Its refusal says NotRun only where no attempt may have run.
func (s *Server) callUntilRun(ctx context.Context, sc *serviceCall) (served, *refusal.Error) {
	var done served
	var avoid []string
	mayHaveRun := false
	for {
		done.attempts++
		answer, replica, err := s.tryService(ctx, sc, done.attempts, avoid)
		done.answer, done.replica = answer, replica
		if err == nil {
			return done, nil
		}
		mayHaveRun = mayHaveRun || !provedNotRun(err)
		if !s.serviceAgain(ctx, sc, done.attempts, err) {
			return done, serviceRefusal(ctx, err, mayHaveRun)
		}
		avoid = append(avoid, replica)
	}
}

// provedNotRun says that an attempt never reached a replica: it was refused
// while it waited, or no connection was obtained.
func provedNotRun(err error) bool {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused.Outcome == refusal.NotRun
	}
	return upstream.KindOf(err) == upstream.NotRun
}

// tryService waits for a slot and makes the call once.
func (s *Server) tryService(ctx context.Context, sc *serviceCall, attempt int, avoid []string) (*upstream.ServiceAnswer, string, error) {
	sc.call.queued(attempt, sc.upstream.Name)
	slot, err := s.options.Dispatch.Acquire(ctx, sc.upstream.Name, sc.routerRequest(attempt, avoid))
	if err != nil {
		return nil, "", err
	}
	sc.call.bound(attempt, slot)
	if attempt == 1 {
		s.metrics.waited(sc.call)
	}
	done, err := s.startWork(ctx, sc.call, sc.upstream.Name)
	if err != nil {
		slot.Finish(resultOf(err))
		return nil, "", err
	}
	defer done()
	wire := sc.wire
	wire.ID = fmt.Sprintf("%s.%d", sc.call.id, attempt)
	sc.call.started(attempt, slot)
	answer, err := s.options.Services.Do(ctx, slot.Replica.Address, wire)
	slot.Finish(resultOf(err))
	sc.call.ended(attempt, slot, 0, err)
	if err == nil {
		s.options.Retries.RecordSuccess(time.Now(), sc.call.class.Name, sc.upstream.Name)
	}
	return answer, slot.Replica.Name, err
}

func (sc *serviceCall) routerRequest(attempt int, avoid []string) router.Request {
	return router.Request{
		ID:        sc.call.id,
		Workspace: sc.call.workspace.Name,
		Class:     sc.call.class.Name,
		Tier:      sc.call.class.Tier,
		Arrived:   sc.call.arrived,
		AnswerBy:  sc.call.answerBy(),
		GiveUpAt:  sc.call.giveUpAt,
		Attempt:   attempt,
		Avoid:     avoid,
	}
}

// serviceAgain allows another attempt where the last one certainly did not
// run, or where the call only reads.
func (s *Server) serviceAgain(ctx context.Context, sc *serviceCall, attempts int, err error) bool {
	var failed *upstream.Error
	if !errors.As(err, &failed) || ctx.Err() != nil {
		return false
	}
	decision := s.options.Retries.Decide(time.Now(), sc.retryAttempt(failed, attempts))
	s.metrics.retries.Count(decision)
	sc.call.decided(decision)
	return decision.Action != retry.GiveUp
}

// retryAttempt is what the decision on another attempt needs to know. All
// earlier attempts of a call that does not only read were proved not to run.
func (sc *serviceCall) retryAttempt(failed *upstream.Error, attempts int) retry.Attempt {
	a := retry.Attempt{
		Class:      sc.call.class.Name,
		Upstream:   sc.upstream.Name,
		Result:     retryResult(failed),
		Peer:       failed.Peer,
		Number:     attempts,
		Repeatable: sc.readOnly(),
		Remaining:  time.Until(sc.call.giveUpAt),
	}
	if !a.Repeatable {
		a.NotRunBefore = attempts - 1
	}
	return a
}

// readOnly says that the method promises not to change anything.
func (sc *serviceCall) readOnly() bool {
	if sc.rule != nil {
		return false
	}
	return sc.wire.Method == http.MethodGet || sc.wire.Method == http.MethodHead
}

func (s *Server) answerService(w http.ResponseWriter, sc *serviceCall, done served) {
	s.answered(sc.call, time.Time{}, time.Now(), 0)
	header := w.Header()
	for name, values := range done.answer.Header {
		header[name] = values
	}
	header.Set(headerUpstream, sc.upstream.Name+"/"+done.replica)
	header.Set(headerAttempts, strconv.Itoa(done.attempts))
	giveTime(w, len(done.answer.Body))
	w.WriteHeader(done.answer.Status)
	_, _ = w.Write(done.answer.Body)
}

// serviceRefusal says why there is no answer and whether the call may have run.
func serviceRefusal(ctx context.Context, err error, mayHaveRun bool) *refusal.Error {
	var refused *refusal.Error
	if !errors.As(err, &refused) {
		refused = &refusal.Error{
			Reason:  reasonOf(ctx, err),
			Message: "the service gave no whole answer",
			Step:    "service",
			Cause:   err,
		}
	}
	var failed *upstream.Error
	if errors.As(err, &failed) {
		refused.Step = failed.Step
		refused.Peer = failed.Peer
	}
	refused.Outcome = refusal.NotRun
	if mayHaveRun {
		refused.Outcome = refusal.Unknown
	}
	return refused
}
