package gateway

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"path"
	"strconv"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
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
		s.refuse(w, err)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), c.giveUpAt)
	defer cancel()
	s.serveCall(ctx, w, sc)
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
	sc := &serviceCall{call: c, upstream: target, rule: ruleFor(target, r.Method, servicePath)}
	if sc.rule != nil && !sc.rule.KeyOptional && c.idempotencyKey == "" {
		return nil, named(refusal.IdempotencyNeeds, headerIdempotencyKey, "", "this call may not be repeated: send a key that names it")
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

func withQuery(servicePath, query string) string {
	if query == "" {
		return servicePath
	}
	return servicePath + "?" + query
}

// ruleFor returns the first rule that matches, or nil.
func ruleFor(target *config.Upstream, method, servicePath string) *config.Rule {
	for i := range target.Unrepeatable {
		rule := &target.Unrepeatable[i]
		matched, err := path.Match(rule.Path, servicePath)
		if err == nil && matched && rule.Method == method {
			return rule
		}
	}
	return nil
}

// serveCall runs the call, once where it may not be repeated, and answers.
func (s *Server) serveCall(ctx context.Context, w http.ResponseWriter, sc *serviceCall) {
	var avoid []string
	for attempts := 1; ; attempts++ {
		answer, replica, err := s.tryService(ctx, sc, attempts, avoid)
		if err == nil {
			s.answerService(w, sc, answer, replica, attempts)
			return
		}
		if !s.serviceAgain(ctx, sc, attempts, err) {
			w.Header().Set(headerAttempts, strconv.Itoa(attempts))
			s.refuse(w, serviceRefusal(ctx, err))
			return
		}
		avoid = append(avoid, replica)
		s.metrics.retries.WithLabelValues(string(upstream.KindOf(err))).Inc()
	}
}

// tryService waits for a slot and makes the call once.
func (s *Server) tryService(ctx context.Context, sc *serviceCall, attempt int, avoid []string) (*upstream.ServiceAnswer, string, error) {
	slot, err := s.options.Dispatch.Acquire(ctx, sc.upstream.Name, sc.routerRequest(attempt, avoid))
	if err != nil {
		return nil, "", err
	}
	wire := sc.wire
	wire.ID = fmt.Sprintf("%s.%d", sc.call.id, attempt)
	answer, err := s.options.Services.Do(ctx, slot.Replica.Address, wire)
	slot.Finish(resultOf(err))
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
	if attempts >= sc.call.index.Document().Limits.MaxAttempts {
		return false
	}
	return failed.Kind == upstream.NotRun || sc.readOnly()
}

// readOnly says that the method promises not to change anything.
func (sc *serviceCall) readOnly() bool {
	if sc.rule != nil {
		return false
	}
	return sc.wire.Method == http.MethodGet || sc.wire.Method == http.MethodHead
}

func (s *Server) answerService(w http.ResponseWriter, sc *serviceCall, answer *upstream.ServiceAnswer, replica string, attempts int) {
	header := w.Header()
	for name, values := range answer.Header {
		header[name] = values
	}
	header.Set(headerUpstream, sc.upstream.Name+"/"+replica)
	header.Set(headerAttempts, strconv.Itoa(attempts))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}

// serviceRefusal says why there is no answer and whether the call may have run.
func serviceRefusal(ctx context.Context, err error) *refusal.Error {
	var refused *refusal.Error
	if errors.As(err, &refused) {
		return refused
	}
	refused = &refusal.Error{
		Reason:  reasonOf(ctx, err),
		Outcome: refusal.Unknown,
		Message: "the service gave no whole answer",
		Step:    "service",
		Cause:   err,
	}
	var failed *upstream.Error
	if errors.As(err, &failed) {
		refused.Step = failed.Step
		refused.Peer = failed.Peer
		if failed.Kind == upstream.NotRun {
			refused.Outcome = refusal.NotRun
		}
	}
	return refused
}
