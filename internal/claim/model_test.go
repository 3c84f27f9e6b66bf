package claim

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/uuid"

	"galenatrestle/internal/platform"
)

const modelPrefix = "claims/"

var modelKeys = [2]string{segmentKey(modelPrefix, 0), segmentKey(modelPrefix, 1)}

var (
	modelKey     = Key{Workspace: "w", Upstream: "u", IdempotencyKey: "k"}
	modelNow     = time.UnixMilli(1_700_000_000_000)
	modelContent = FingerprintOf("POST", "/claims", nil)
)

type model struct {
	seen     map[[16]byte]bool
	reached  map[string]int
	failures []string
}

func nodeName(i int) string { return fmt.Sprintf("n%d", i) }

func attemptOf(i int) uuid.UUID { return uuid.UUID{byte(i + 1)} }

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

func (m *model) steps(s *modelState) []*modelState {
	var next []*modelState
	addIf := func(possible bool, step func(*modelState)) {
		if !possible {
			return
		}
		after := s.clone()
		step(after)
		after.dropSettled()
		next = append(next, after)
	}
	for n := range s.nodes {
		m.nodeSteps(s, n, addIf)
	}
	for i := range s.requests {
		m.requestSteps(s, i, addIf)
	}
	for i := range s.late {
		addIf(true, func(s *modelState) {
			_, _ = s.swap(s.late[i])
			s.late = slices.Delete(s.late, i, i+1)
		})
	}
	return next
}

func (m *model) nodeSteps(s *modelState, n int, addIf func(bool, func(*modelState))) {
	node := s.nodes[n]
	if node.dead {
		return
	}
	addIf(s.faultsLeft.takeovers > 0 && node.sending == nil, func(s *modelState) { m.takeOver(s, n) })
	addIf(s.faultsLeft.crashes > 0, func(s *modelState) { s.crash(n) })
	addIf(s.faultsLeft.suspicions > 0 && !node.suspected, func(s *modelState) {
		s.faultsLeft.suspicions--
		s.nodes[n].suspected = true
	})
	sending := node.sending != nil
	addIf(sending, func(s *modelState) { m.deliverAnswer(s, n) })
	addIf(sending && s.faultsLeft.lost > 0, func(s *modelState) {
		s.faultsLeft.lost--
		_, _ = s.swap(*s.nodes[n].sending)
	})
	addIf(sending && s.faultsLeft.late > 0, func(s *modelState) {
		s.faultsLeft.late--
		s.late = append(s.late, *s.nodes[n].sending)
	})
	addIf(node.ring != nil && !sending && len(node.ring.pending) > 0, func(s *modelState) { m.send(s, n) })
}

// takeOver recovers the ring at a new epoch. The model has no leases, so it includes
// paused holders and two concurrent holders.
func (m *model) takeOver(s *modelState, n int) {
	s.faultsLeft.takeovers--
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

func (m *model) deliverAnswer(s *modelState, n int) {
	node := &s.nodes[n]
	outcome, revision := node.sending.classify(s.swap(*node.sending))
	m.reached["write "+outcome.String()]++
	switch outcome {
	case effectApplied:
		node.ring.markWritten(*node.sending, revision)
		node.fencing = false
	case effectSuperseded:
		node.ring = nil
	}
	node.sending = nil
}

// crash ends a node. Its write in flight may still take effect.
func (s *modelState) crash(n int) {
	s.faultsLeft.crashes--
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

// tailStays never seals the tail; tailMoves starts a new segment with each write.
var (
	tailStays = Policy{Segments: 2, SegmentBytes: 1 << 20, InProgressLimit: time.Hour, KeyRetention: time.Hour}
	tailMoves = Policy{Segments: 2, SegmentBytes: 1, InProgressLimit: time.Hour, KeyRetention: time.Hour}
	// tailShortens overwrites its only segment with each write and shortens each ended
	// claim.
	tailShortens = Policy{Segments: 1, SegmentBytes: 1, InProgressLimit: time.Hour, KeyRetention: time.Hour, AnswerRetention: -1}
)

// newModel explores from a state in which node 0 takes over first. Nodes and requests
// are symmetric, so the choice does not matter.
func newModel(start *modelState) *model {
	m := &model{seen: make(map[[16]byte]bool), reached: make(map[string]int)}
	start.entries = make(map[string]platform.Entry)
	start.contents = make(map[string][]byte)
	start.faultsLeft.takeovers++
	m.takeOver(start, 0)
	m.explore(start)
	return m
}

// TestModel explores every order of claims, writes, takeovers, crashes, lost responses
// and late writes within the fault budget, using the production code for each decision.
func TestModel(t *testing.T) {
	bounds := map[string]modelState{
		"three holders": {policy: tailStays, faultsLeft: faultBudget{takeovers: 2}},
		"crash":         {policy: tailStays, faultsLeft: faultBudget{takeovers: 1, crashes: 1}},
		"lost answer":   {policy: tailStays, faultsLeft: faultBudget{takeovers: 1, lost: 1}},
		"late write":    {policy: tailStays, faultsLeft: faultBudget{takeovers: 1, late: 1}},
		"suspicion":     {policy: tailStays, faultsLeft: faultBudget{takeovers: 1, suspicions: 1}},
		"release":       {policy: tailStays, faultsLeft: faultBudget{takeovers: 1, releases: 1}},

		"three holders and crash, tail moves":   {policy: tailMoves, faultsLeft: faultBudget{takeovers: 2, crashes: 1}},
		"crash and lost answer, tail moves":     {policy: tailMoves, faultsLeft: faultBudget{takeovers: 1, crashes: 1, lost: 1}},
		"crash and late write, tail moves":      {policy: tailMoves, faultsLeft: faultBudget{takeovers: 1, crashes: 1, late: 1}},
		"suspicion and lost answer, tail moves": {policy: tailMoves, faultsLeft: faultBudget{takeovers: 1, suspicions: 1, lost: 1}},
		"release and late write, tail moves":    {policy: tailMoves, faultsLeft: faultBudget{takeovers: 1, releases: 1, late: 1}},
	}
	for _, left := range []faultBudget{
		{takeovers: 2, crashes: 1}, {takeovers: 1, crashes: 1, lost: 1}, {takeovers: 1, crashes: 1, late: 1},
		{takeovers: 1, suspicions: 1, lost: 1}, {takeovers: 1, releases: 1, late: 1},
	} {
		bounds[fmt.Sprintf("short records, %+v", left)] = modelState{policy: tailShortens, faultsLeft: left}
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

// TestModelDetectsFaults checks that the model detects double execution in broken
// implementations.
func TestModelDetectsFaults(t *testing.T) {
	broken := map[string]modelState{
		"writes without a condition": {unconditional: true, faultsLeft: faultBudget{takeovers: 1}},
		"answers before the write":   {early: true, faultsLeft: faultBudget{takeovers: 1}},
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
