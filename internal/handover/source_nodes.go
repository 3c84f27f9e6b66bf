package handover

import (
	"cmp"
	"slices"
	"time"
)

// node returns the node's entry, made if need be; s.Nodes is s's own copy.
func (s *Source) node(name string) *nodeAck {
	i, found := slices.BinarySearchFunc(s.Nodes, name, func(n nodeAck, name string) int { return cmp.Compare(n.Name, name) })
	if !found {
		s.Nodes = slices.Insert(s.Nodes, i, nodeAck{Name: name})
	}
	return &s.Nodes[i]
}

func (s *Source) list(names []string) {
	s.Listed = true
	for _, name := range names {
		s.node(name)
	}
}

// armed notes an acknowledgement. Its arrival bounds the node's first term.
func (s *Source) armed(in SourceInput, now time.Time) {
	if in.Epoch != s.Move.DriverEpoch || s.Move.Phase != PhaseArming {
		return
	}
	s.node(in.Node).Armed = true
	s.LastPermit = now
}

func (s *Source) stopped(in SourceInput) {
	if s.Move.Phase.sealedHere() {
		s.node(in.Node).Stopped = true
	}
}

func (s *Source) taken(part int) {
	if !slices.Contains(s.Sent, part) {
		s.Sent = append(s.Sent, part)
	}
}

// allArmed says whether every registered node serves by permits only.
func (s *Source) allArmed() bool {
	if !s.Listed {
		return false
	}
	return !slices.ContainsFunc(s.Nodes, func(n nodeAck) bool { return !n.Armed && !n.Dead })
}

// allStopped says whether every known node has acknowledged the seal.
func (s *Source) allStopped() bool {
	if !s.Listed {
		return false
	}
	return !slices.ContainsFunc(s.Nodes, func(n nodeAck) bool { return !n.Stopped && !n.Dead })
}

// Waiting names what the move waits for, for operators; empty where nothing.
func (s Source) Waiting() string {
	switch s.Move.Phase {
	case PhaseOffered:
		return "the target " + s.Move.Peer + " is not ready"
	case PhaseArming:
		return s.waitingArming()
	case PhaseSealed:
		return s.waitingSealed()
	case PhaseOpened:
		return "requests of the set are in flight here, or the target lacks their outcomes"
	}
	return ""
}

func (s Source) waitingArming() string {
	if !s.Listed {
		return "the registered nodes are not listed yet"
	}
	for _, n := range s.Nodes {
		if !n.Armed && !n.Dead {
			return "node " + n.Name + " has not acknowledged: make it reachable or declare it dead"
		}
	}
	return "the plan has not come to its seal step"
}

func (s Source) waitingSealed() string {
	if !s.Quiet {
		return "nodes may still have a permit: they acknowledge the seal or their terms run out"
	}
	if s.Parts == 0 {
		return "claims and outcomes are not exported yet"
	}
	if len(s.Sent) < s.Parts {
		return "the target " + s.Move.Peer + " has not acknowledged all parts"
	}
	return "the target " + s.Move.Peer + " has not opened"
}
