package claim

import (
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// requestSteps are what may happen to one request.
func (m *model) requestSteps(s *modelState, i int, try func(bool, func(*modelState))) {
	request := s.requests[i]
	for h, node := range s.nodes {
		serving := node.ring != nil && !node.fencing
		try(serving && request.state == requestIdle && request.tries < 2, func(s *modelState) { m.begin(s, i, h) })
		try(serving && request.state == requestSent && request.finishes < 1, func(s *modelState) {
			s.finish(i, h, claimv1.Phase_PHASE_RECORDED)
		})
		try(serving && request.state == requestAbandoned && request.finishes < 1, func(s *modelState) {
			s.finish(i, h, claimv1.Phase_PHASE_RELEASED)
		})
	}
	waiting := request.state == requestWaiting
	try(waiting && s.durable(request), func(s *modelState) { m.decided(s, i) })
	try(waiting, func(s *modelState) {
		s.requests[i].state = requestIdle
		s.requests[i].uncertain = true
	})
	try(request.state == requestIdle && request.uncertain, func(s *modelState) { m.abandon(s, i, toldUnknown) })
	try(request.state == requestGranted, func(s *modelState) { m.run(s, i) })
	try(request.state == requestGranted && s.left.releases > 0, func(s *modelState) {
		// The send failed before its first byte.
		s.left.releases--
		m.abandon(s, i, toldNotRun)
	})
}

func (m *model) begin(s *modelState, i, h int) {
	r := s.nodes[h].ring
	command := BeginCommand{
		Key: modelKey, CallFingerprint: modelContent, Attempt: attemptOf(i), Node: nodeName(i), Now: modelNow, ProcessEnded: s.gone,
	}
	decision, change, err := r.apply(modelKey, command, modelNow)
	if err != nil {
		m.failures = append(m.failures, err.Error())
		return
	}
	if r.index[digestOf(modelKey)].short {
		m.reached["short record"]++
	}
	request := &s.requests[i]
	request.state = requestWaiting
	request.tries++
	request.holder, request.term = h, r.epoch
	request.change, request.decision = change, decision
}

// durable says whether the request's holder can answer it.
func (s *modelState) durable(request modelRequest) bool {
	r := s.nodes[request.holder].ring
	return r != nil && r.epoch == request.term && (r.durable >= request.change || s.early)
}

// decided gives the request its verdict.
func (m *model) decided(s *modelState, i int) {
	request := &s.requests[i]
	request.state = requestOver
	m.reached["verdict "+request.decision.Verdict.String()]++
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
	if s.requests[i].told != "" {
		m.failures = append(m.failures, "the call ran after its caller was told that it was not sent")
	}
}

// abandon gives the attempt up and tells the caller.
func (m *model) abandon(s *modelState, i int, tell told) {
	s.requests[i].state = requestAbandoned
	s.requests[i].told = tell
	if tell == toldNotRun && s.sends > 0 {
		m.failures = append(m.failures, "a caller was told not-run though its key had run")
	}
	m.reached["abandoned"]++
	m.reached["told "+string(tell)]++
}

func (s *modelState) finish(i, h int, phase claimv1.Phase) {
	s.requests[i].finishes++
	command := FinishCommand{Key: modelKey, Attempt: attemptOf(i), Phase: phase, Now: modelNow}
	// What the ring cannot decode was checked by begin.
	_, _, _ = s.nodes[h].ring.apply(modelKey, command, modelNow)
}
