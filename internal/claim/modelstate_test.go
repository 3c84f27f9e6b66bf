package claim

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/platform"
)

// faultBudget limits the takeovers and faults on one path of the model.
type faultBudget struct {
	takeovers, crashes, lost, late, suspicions, releases int
}

type requestState int

const (
	requestIdle requestState = iota
	requestWaiting
	requestGranted
	requestSent
	requestAbandoned
	requestDone
)

// modelRequest is one caller's request; request i arrives at node i.
type modelRequest struct {
	state        requestState
	holder       int
	term         int64
	change       int64
	decision     Decision
	callerResult callResult
	finishes     int
	tries        int
	uncertain    bool
}

// modelNode is one node. Both nodes may consider themselves holders.
type modelNode struct {
	dead      bool
	suspected bool
	ring      *ring
	// fencing reports that the ring's first write is in flight.
	fencing  bool
	inFlight *write
}

// modelState is one state of the model: a shard with one key, two nodes and two requests
// with that key.
type modelState struct {
	policy     Policy
	entries    map[string]platform.Entry
	revision   int64
	epoch      int64
	nodes      [2]modelNode
	requests   [2]modelRequest
	late       []write
	sends      int
	faultsLeft faultBudget
	// contents caches the results of content; all clones share it.
	contents map[string][]byte
	// ignoresRevisions simulates a broken platform that ignores the expected revision.
	ignoresRevisions bool
	// respondsEarly simulates a broken holder that responds before its write is durable.
	respondsEarly bool
}

func cloneRing(r *ring) *ring {
	if r == nil {
		return nil
	}
	copied := *r
	copied.index = maps.Clone(r.index)
	copied.slots = slices.Clone(r.slots)
	for i := range copied.slots {
		copied.slots[i].digests = slices.Clone(r.slots[i].digests)
	}
	copied.pending = slices.Clone(r.pending)
	return &copied
}

func (m *modelState) clone() *modelState {
	copied := *m
	copied.entries = maps.Clone(m.entries)
	copied.late = slices.Clone(m.late)
	for i := range copied.nodes {
		copied.nodes[i].ring = cloneRing(m.nodes[i].ring)
	}
	return &copied
}

// identity returns a digest of everything that determines the next steps. Revisions,
// epochs and change numbers are included only as the results of their comparisons.
func (m *modelState) identity() [16]byte {
	to := make(identity, 0, 2048)
	to.add(m.sends, m.faultsLeft.takeovers, m.faultsLeft.crashes, m.faultsLeft.lost, m.faultsLeft.late, m.faultsLeft.suspicions, m.faultsLeft.releases)
	for position := range m.policy.Segments {
		to.addBytes(m.content(m.entries[modelKeys[position]].Value))
	}
	to.add(len(m.late))
	for _, late := range m.late {
		to.addBytes([]byte(late.key))
		to.addBytes(m.content(late.value))
	}
	for n := range m.nodes {
		node := &m.nodes[n]
		to.add(boolToInt(node.dead), boolToInt(node.suspected), boolToInt(node.fencing), boolToInt(node.inFlight != nil), boolToInt(node.ring != nil))
		m.identifySending(&to, node.inFlight)
		m.identifyRing(&to, node.ring)
	}
	for i := range m.requests {
		m.identifyRequest(&to, &m.requests[i])
	}
	sum := sha256.Sum256(to)
	return [16]byte(sum[:16])
}

// identity is the encoding of a modelState that modelState.identity hashes.
type identity []byte

func (to *identity) add(numbers ...int) {
	for _, number := range numbers {
		*to = binary.AppendVarint(*to, int64(number))
	}
}

func (to *identity) addBytes(text []byte) {
	to.add(len(text))
	*to = append(*to, text...)
}

func boolToInt(yes bool) int {
	if yes {
		return 1
	}
	return 0
}

// content returns a segment without write ID, epoch and holder.
func (m *modelState) content(value []byte) []byte {
	known, cached := m.contents[string(value)]
	if !cached {
		known = withoutWriter(value)
		m.contents[string(value)] = known
	}
	return known
}

func withoutWriter(value []byte) []byte {
	segment := &claimv1.Segment{}
	if proto.Unmarshal(value, segment) != nil {
		return value
	}
	segment.WriteId, segment.Epoch, segment.Holder = nil, 0, ""
	// Marshaling a message that was just unmarshaled does not fail.
	encoded, _ := proto.Marshal(segment)
	return encoded
}

func (m *modelState) identifySending(to *identity, sending *write) {
	if sending == nil {
		return
	}
	current := m.entries[sending.key]
	applied := bytes.Equal(current.Value, sending.value)
	to.addBytes([]byte(sending.key))
	to.add(boolToInt(current.Revision == sending.expectedRevision), boolToInt(applied))
	if applied || current.Revision == sending.expectedRevision {
		to.addBytes(m.content(sending.value))
	}
}

func (m *modelState) identifyRing(to *identity, r *ring) {
	if r == nil {
		return
	}
	to.add(int(r.tail), boolToInt(r.sealed))
	to.addBytes(r.body)
	for position, segmentSlot := range r.slots {
		same := m.entries[modelKeys[position]].Revision == segmentSlot.revision
		to.add(boolToInt(same), int(segmentSlot.sequence), len(segmentSlot.digests))
	}
	to.add(len(r.index))
	for _, current := range r.index {
		to.add(int(current.sequence), int(max(0, current.change-r.durableChange)))
		to.addBytes(current.encoded)
	}
	to.add(len(r.pending))
	for _, waiting := range r.pending {
		to.add(int(waiting.number - r.durableChange))
		to.addBytes(waiting.encoded)
	}
}

func (m *modelState) identifyRequest(to *identity, request *modelRequest) {
	to.add(int(request.state))
	switch request.state {
	case requestIdle:
		to.add(request.tries, boolToInt(request.uncertain))
	case requestWaiting:
		r := m.nodes[request.holder].ring
		lost := r == nil || r.epoch != request.term
		to.add(request.tries, request.holder, boolToInt(lost))
		if !lost {
			to.add(int(max(0, request.change-r.durableChange)), int(request.decision.Verdict), len(request.decision.Refused))
		}
	case requestSent, requestAbandoned:
		to.add(request.finishes)
	}
}

// dropFailedWrites removes late writes that can no longer take effect.
func (m *modelState) dropFailedWrites() {
	m.late = slices.DeleteFunc(m.late, func(w write) bool {
		return m.entries[w.key].Revision != w.expectedRevision && !m.ignoresRevisions
	})
}

// writeID returns a deterministic ID that differs between different writes.
func (m *modelState) writeID(node int) uuid.UUID {
	r := m.nodes[node].ring
	sum := sha256.New()
	fmt.Fprint(sum, node, r.epoch, r.tail, r.durableChange, r.lastChange, m.revision)
	return uuid.UUID(sum.Sum(nil)[:16])
}

func (m *modelState) swap(w write) (platform.Entry, error) {
	current := m.entries[w.key]
	if current.Revision != w.expectedRevision && !m.ignoresRevisions {
		return platform.Entry{}, &platform.ConflictError{Key: w.key, Expect: w.expectedRevision, Current: current}
	}
	m.revision++
	entry := platform.Entry{Key: w.key, Value: w.value, Revision: m.revision}
	m.entries[w.key] = entry
	return entry, nil
}
