package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/platform"
)

// modelPrefix is the shard's prefix in the model.
const modelPrefix = "claims/"

// modelKeys are the platform keys of the model's ring.
var modelKeys = [2]string{segmentKey(modelPrefix, 0), segmentKey(modelPrefix, 1)}

var (
	modelKey     = Key{Workspace: "w", Upstream: "u", IdempotencyKey: "k"}
	modelNow     = time.UnixMilli(1_700_000_000_000)
	modelContent = FingerprintOf("POST", "/claims", nil)
)

// model explores every order of steps.
type model struct {
	seen     map[[16]byte]bool
	reached  map[string]int
	failures []string
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func attemptOf(i int) uuid.UUID { return uuid.UUID{byte(i + 1)} }

// explore visits all states that follow from s, depth first.
func (m *model) explore(s *modelState) {
	stack := []*modelState{s}
	for len(stack) > 0 && len(m.failures) == 0 {
		s := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		id := s.identity()
		if m.seen[id] {
			continue
		}
		m.seen[id] = true
		stack = append(stack, m.steps(s)...)
	}
}

// steps returns the states after each step that can come next.
func (m *model) steps(s *modelState) []*modelState {
	var next []*modelState
	try := func(possible bool, step func(*modelState)) {
		if !possible {
			return
		}
		after := s.clone()
		step(after)
		after.dropSettled()
		next = append(next, after)
	}
	for n := range s.nodes {
		m.nodeSteps(s, n, try)
	}
	for i := range s.requests {
		m.requestSteps(s, i, try)
	}
	for i := range s.late {
		try(true, func(s *modelState) {
			_, _ = s.swap(s.late[i])
			s.late = slices.Delete(s.late, i, i+1)
		})
	}
	return next
}

// nodeSteps are what may happen to a node as holder.
func (m *model) nodeSteps(s *modelState, n int, try func(bool, func(*modelState))) {
	node := s.nodes[n]
	if node.dead {
		return
	}
	try(s.left.takeovers > 0 && node.sending == nil, func(s *modelState) { m.takeOver(s, n) })
	try(s.left.crashes > 0, func(s *modelState) { s.crash(n) })
	try(s.left.suspicions > 0 && !node.suspected, func(s *modelState) {
		s.left.suspicions--
		s.nodes[n].suspected = true
	})
	sending := node.sending != nil
	try(sending, func(s *modelState) { m.answered(s, n) })
	try(sending && s.left.lost > 0, func(s *modelState) {
		s.left.lost--
		_, _ = s.swap(*s.nodes[n].sending)
	})
	try(sending && s.left.late > 0, func(s *modelState) {
		s.left.late--
		s.late = append(s.late, *s.nodes[n].sending)
	})
	try(node.ring != nil && !sending && len(node.ring.pending) > 0, func(s *modelState) { m.send(s, n) })
}

// takeOver reads the ring at a new epoch. No lease hinders it: a holder that is
// paused past its lease, and two that believe in theirs, are all covered.
func (m *model) takeOver(s *modelState, n int) {
	s.left.takeovers--
	s.epoch++
	var entries []platform.Entry
	for _, entry := range s.entries {
		entries = append(entries, entry)
	}
	r, err := recoverRing(s.policy, modelPrefix, nodeName(n), s.epoch, entries)
	if err != nil {
		m.failures = append(m.failures, err.Error())
		return
	}
	s.nodes[n].ring = r
	s.nodes[n].fencing = true
	m.send(s, n)
}

func (m *model) send(s *modelState, n int) {
	next, err := s.nodes[n].ring.nextWrite(modelNow, s.writeID(n))
	if err != nil {
		m.failures = append(m.failures, err.Error())
		return
	}
	s.nodes[n].sending = &next
}

// answered carries the write out and takes the answer.
func (m *model) answered(s *modelState, n int) {
	node := &s.nodes[n]
	outcome, revision := node.sending.judge(s.swap(*node.sending))
	m.reached["write "+outcome.String()]++
	switch outcome {
	case effectLanded:
		node.ring.written(*node.sending, revision)
		node.fencing = false
	case effectSuperseded:
		node.ring = nil
	}
	node.sending = nil
}

// crash ends a node; its write under way may still arrive.
func (s *modelState) crash(n int) {
	s.left.crashes--
	node := &s.nodes[n]
	if node.sending != nil {
		s.late = append(s.late, *node.sending)
	}
	*node = modelNode{dead: true}
	s.requests[n].state = requestOver
}

func (s *modelState) gone(name string, _ uuid.UUID) bool {
	for n, node := range s.nodes {
		if nodeName(n) == name {
			return node.dead || node.suspected
		}
	}
	return true
}

// tailStays and tailMoves are a ring whose tail stays and one that moves with
// each write.
var (
	tailStays = Policy{Segments: 2, SegmentBytes: 1 << 20, InProgressLimit: time.Hour, KeyRetention: time.Hour}
	tailMoves = Policy{Segments: 2, SegmentBytes: 1, InProgressLimit: time.Hour, KeyRetention: time.Hour}
	// tailShortens overwrites its only segment with each write and shortens
	// each ended claim that it carries.
	tailShortens = Policy{Segments: 1, SegmentBytes: 1, InProgressLimit: time.Hour, KeyRetention: time.Hour, AnswerRetention: -1}
)

// newModel explores from a state in which node 0 is about to take over: nodes
// and requests are alike, so that the first holder may be fixed.
func newModel(start *modelState) *model {
	m := &model{seen: make(map[[16]byte]bool), reached: make(map[string]int)}
	start.entries = make(map[string]platform.Entry)
	start.contents = make(map[string][]byte)
	start.left.takeovers++
	m.takeOver(start, 0)
	m.explore(start)
	return m
}

// TestModel visits every order of claims, writes, take-overs, crashes, lost and
// late writes within the bound, and runs the real decisions in each.
func TestModel(t *testing.T) {
	bounds := map[string]modelState{
		"three holders": {policy: tailStays, left: budget{takeovers: 2}},
		"crash":         {policy: tailStays, left: budget{takeovers: 1, crashes: 1}},
		"lost answer":   {policy: tailStays, left: budget{takeovers: 1, lost: 1}},
		"late write":    {policy: tailStays, left: budget{takeovers: 1, late: 1}},
		"suspicion":     {policy: tailStays, left: budget{takeovers: 1, suspicions: 1}},
		"release":       {policy: tailStays, left: budget{takeovers: 1, releases: 1}},

		"three holders and crash, tail moves":   {policy: tailMoves, left: budget{takeovers: 2, crashes: 1}},
		"crash and lost answer, tail moves":     {policy: tailMoves, left: budget{takeovers: 1, crashes: 1, lost: 1}},
		"crash and late write, tail moves":      {policy: tailMoves, left: budget{takeovers: 1, crashes: 1, late: 1}},
		"suspicion and lost answer, tail moves": {policy: tailMoves, left: budget{takeovers: 1, suspicions: 1, lost: 1}},
		"release and late write, tail moves":    {policy: tailMoves, left: budget{takeovers: 1, releases: 1, late: 1}},
	}
	for _, left := range []budget{
		{takeovers: 2, crashes: 1}, {takeovers: 1, crashes: 1, lost: 1}, {takeovers: 1, crashes: 1, late: 1},
		{takeovers: 1, suspicions: 1, lost: 1}, {takeovers: 1, releases: 1, late: 1},
	} {
		bounds[fmt.Sprintf("short records, %+v", left)] = modelState{policy: tailShortens, left: left}
	}
	for name, start := range bounds {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newModel(&start)
			for _, failure := range m.failures {
				t.Error(failure)
			}
			for _, wanted := range []string{"verdict run", "verdict recorded", "verdict in_progress", "write landed", "write superseded", "abandoned"} {
				if m.reached[wanted] == 0 {
					t.Errorf("the model never reached %q", wanted)
				}
			}
			if start.policy.AnswerRetention < 0 && m.reached["short record"] == 0 {
				t.Error("the model never met a short record")
			}
			t.Logf("%d states, %v", len(m.seen), m.reached)
		})
	}
}

// TestModelFindsFaults runs the model on broken parts: it must see the call run
// twice.
func TestModelFindsFaults(t *testing.T) {
	broken := map[string]modelState{
		"writes without a condition": {unconditional: true, left: budget{takeovers: 1}},
		"answers before the write":   {early: true, left: budget{takeovers: 1}},
	}
	for name, start := range broken {
		t.Run(name, func(t *testing.T) {
			start.policy = tailStays
			m := newModel(&start)
			if !slices.Contains(m.failures, "the call ran twice") {
				t.Errorf("not found in %d states: %v", len(m.seen), m.failures)
			}
		})
	}
}
