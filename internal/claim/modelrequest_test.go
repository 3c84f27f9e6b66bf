package claim

import (
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

func (m *model) requestSteps(s *modelState, i int, addIf func(bool, func(*modelState))) {
	request := s.requests[i]
	for h, node := range s.nodes {
		serving := node.ring != nil && !node.fencing
		addIf(serving && request.state == requestIdle && request.tries < 2, func(s *modelState) { m.begin(s, i, h) })
		addIf(serving && request.state == requestSent && request.finishes < 1, func(s *modelState) {
			s.finish(i, h, claimv1.Phase_PHASE_RECORDED)
		})
		addIf(serving && request.state == requestAbandoned && request.finishes < 1, func(s *modelState) {
			s.finish(i, h, claimv1.Phase_PHASE_RELEASED)
		})
	}
	waiting := request.state == requestWaiting
	addIf(waiting && s.durable(request), func(s *modelState) { m.deliverDecision(s, i) })
	addIf(waiting, func(s *modelState) {
		s.requests[i].state = requestIdle
		s.requests[i].uncertain = true
	})
	addIf(request.state == requestIdle && request.uncertain, func(s *modelState) { m.abandon(s, i, resultUnknown) })
	addIf(request.state == requestGranted, func(s *modelState) { m.run(s, i) })
	addIf(request.state == requestGranted && s.faultsLeft.releases > 0, func(s *modelState) {
		// The send failed before any byte was sent.
		s.faultsLeft.releases--
		m.abandon(s, i, resultNotRun)
	})
}

func (m *model) begin(s *modelState, i, h int) {
	r := s.nodes[h].ring
	command := BeginCommand{
		Key: modelKey, CallFingerprint: modelContent, Attempt: attemptOf(i), Node: nodeName(i), Now: modelNow, ProcessEnded: s.processEnded,
	}
	decision, change, err := r.apply(modelKey, command, modelNow)
	if err != nil {
		m.failures = append(m.failures, err.Error())
		return
	}
	if r.index[digestOf(modelKey)].short {
		m.events["short record"]++
	}
	request := &s.requests[i]
	request.state = requestWaiting
	request.tries++
	request.holder, request.term = h, r.epoch
	request.change, request.decision = change, decision
}

// durable reports whether the holder may respond to the request.
func (s *modelState) durable(request modelRequest) bool {
	r := s.nodes[request.holder].ring
	return r != nil && r.epoch == request.term && (r.durableChange >= request.change || s.respondsEarly)
}

func (m *model) deliverDecision(s *modelState, i int) {
	request := &s.requests[i]
	request.state = requestDone
	m.events["verdict "+request.decision.Verdict.String()]++
	switch request.decision.Verdict {
	case Run:
		request.state = requestGranted
	case Recorded:
		if s.sends != 1 {
			m.failures = append(m.failures, "an answer was recorded though nothing ran")
		}
	}
}

func (m *model) run(s *modelState, i int) {
	s.sends++
	s.requests[i].state = requestSent
	if s.sends > 1 {
		m.failures = append(m.failures, "the call ran twice")
	}
	if s.requests[i].callerResult != "" {
		m.failures = append(m.failures, "the call ran although its caller had already received another result")
	}
}

func (m *model) abandon(s *modelState, i int, result callResult) {
	s.requests[i].state = requestAbandoned
	s.requests[i].callerResult = result
	if result == resultNotRun && s.sends > 0 {
		m.failures = append(m.failures, "a caller got not-run although its key had run")
	}
	m.events["abandoned"]++
	m.events["caller got "+string(result)]++
}

func (s *modelState) finish(i, h int, phase claimv1.Phase) {
	s.requests[i].finishes++
	command := FinishCommand{Key: modelKey, Attempt: attemptOf(i), Phase: phase, Now: modelNow}
	// begin has already reported decoding errors.
	_, _, _ = s.nodes[h].ring.apply(modelKey, command, modelNow)
}
