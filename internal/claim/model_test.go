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

// model explores the reachable states, counts the events on the way and collects
// violations in failures.
type model struct {
	seen     map[[16]byte]bool
	events   map[string]int
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
		after.dropFailedWrites()
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
	addIf(s.faultsLeft.takeovers > 0 && node.inFlight == nil, func(s *modelState) { m.takeOver(s, n) })
	addIf(s.faultsLeft.crashes > 0, func(s *modelState) { s.crash(n) })
	addIf(s.faultsLeft.suspicions > 0 && !node.suspected, func(s *modelState) {
		s.faultsLeft.suspicions--
		s.nodes[n].suspected = true
	})
	sending := node.inFlight != nil
	addIf(sending, func(s *modelState) { m.deliverWriteResponse(s, n) })
	addIf(sending && s.faultsLeft.lost > 0, func(s *modelState) {
		s.faultsLeft.lost--
		_, _ = s.swap(*s.nodes[n].inFlight)
	})
	addIf(sending && s.faultsLeft.late > 0, func(s *modelState) {
		s.faultsLeft.late--
		s.late = append(s.late, *s.nodes[n].inFlight)
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
	s.nodes[n].inFlight = &next
}

func (m *model) deliverWriteResponse(s *modelState, n int) {
	node := &s.nodes[n]
	result, revision := node.inFlight.classify(s.swap(*node.inFlight))
	m.events["write "+result.String()]++
	switch result {
	case effectApplied:
		node.ring.markWritten(*node.inFlight, revision)
		node.fencing = false
	case effectSuperseded:
		node.ring = nil
	}
	node.inFlight = nil
}

// crash ends a node. Its write in flight may still take effect.
func (s *modelState) crash(n int) {
	s.faultsLeft.crashes--
	node := &s.nodes[n]
	if node.inFlight != nil {
		s.late = append(s.late, *node.inFlight)
	}
	*node = modelNode{dead: true}
	s.requests[n].state = requestDone
}

func (s *modelState) processEnded(name string, _ uuid.UUID) bool {
	for n, node := range s.nodes {
		if nodeName(n) == name {
			return node.dead || node.suspected
		}
	}
	return true
}

// neverSealPolicy never seals the tail; alwaysSealPolicy starts a new segment with each
// write.
var (
	neverSealPolicy  = Policy{Segments: 2, SegmentBytes: 1 << 20, InProgressLimit: time.Hour, KeyRetention: time.Hour}
	alwaysSealPolicy = Policy{Segments: 2, SegmentBytes: 1, InProgressLimit: time.Hour, KeyRetention: time.Hour}
	// alwaysShortenPolicy overwrites its only segment with each write and shortens each
	// ended claim.
	alwaysShortenPolicy = Policy{Segments: 1, SegmentBytes: 1, InProgressLimit: time.Hour, KeyRetention: time.Hour, AnswerRetention: -1}
)

// newModel explores from a state in which node 0 takes over first. Nodes and requests
// are symmetric, so the choice does not matter.
func newModel(start *modelState) *model {
	m := &model{seen: make(map[[16]byte]bool), events: make(map[string]int)}
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
	cases := map[string]modelState{
		"three holders": {policy: neverSealPolicy, faultsLeft: faultBudget{takeovers: 2}},
		"crash":         {policy: neverSealPolicy, faultsLeft: faultBudget{takeovers: 1, crashes: 1}},
		"lost response": {policy: neverSealPolicy, faultsLeft: faultBudget{takeovers: 1, lost: 1}},
		"late write":    {policy: neverSealPolicy, faultsLeft: faultBudget{takeovers: 1, late: 1}},
		"suspicion":     {policy: neverSealPolicy, faultsLeft: faultBudget{takeovers: 1, suspicions: 1}},
		"release":       {policy: neverSealPolicy, faultsLeft: faultBudget{takeovers: 1, releases: 1}},

		"three holders and crash, segments sealed":     {policy: alwaysSealPolicy, faultsLeft: faultBudget{takeovers: 2, crashes: 1}},
		"crash and lost response, segments sealed":     {policy: alwaysSealPolicy, faultsLeft: faultBudget{takeovers: 1, crashes: 1, lost: 1}},
		"crash and late write, segments sealed":        {policy: alwaysSealPolicy, faultsLeft: faultBudget{takeovers: 1, crashes: 1, late: 1}},
		"suspicion and lost response, segments sealed": {policy: alwaysSealPolicy, faultsLeft: faultBudget{takeovers: 1, suspicions: 1, lost: 1}},
		"release and late write, segments sealed":      {policy: alwaysSealPolicy, faultsLeft: faultBudget{takeovers: 1, releases: 1, late: 1}},
	}
	for _, left := range []faultBudget{
		{takeovers: 2, crashes: 1}, {takeovers: 1, crashes: 1, lost: 1}, {takeovers: 1, crashes: 1, late: 1},
		{takeovers: 1, suspicions: 1, lost: 1}, {takeovers: 1, releases: 1, late: 1},
	} {
		cases[fmt.Sprintf("short records, %+v", left)] = modelState{policy: alwaysShortenPolicy, faultsLeft: left}
	}
	for name, start := range cases {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			m := newModel(&start)
			for _, failure := range m.failures {
				t.Error(failure)
			}
			for _, wanted := range []string{"verdict run", "verdict recorded", "verdict in_progress", "write landed", "write superseded", "abandoned"} {
				if m.events[wanted] == 0 {
					t.Errorf("the model never reached %q", wanted)
				}
			}
			if start.policy.AnswerRetention < 0 && m.events["short record"] == 0 {
				t.Error("the model never met a short record")
			}
			t.Logf("%d states, %v", len(m.seen), m.events)
		})
	}
}

// TestModelDetectsFaults checks that the model detects double execution in broken
// implementations.
func TestModelDetectsFaults(t *testing.T) {
	broken := map[string]modelState{
		"writes without a condition": {ignoresRevisions: true, faultsLeft: faultBudget{takeovers: 1}},
		"answers before the write":   {respondsEarly: true, faultsLeft: faultBudget{takeovers: 1}},
	}
	for name, start := range broken {
		t.Run(name, func(t *testing.T) {
			start.policy = neverSealPolicy
			m := newModel(&start)
			if !slices.Contains(m.failures, "the call ran twice") {
				t.Errorf("not found in %d states: %v", len(m.seen), m.failures)
			}
		})
	}
}
