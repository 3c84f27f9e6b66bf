package claim

// HeldShards returns the number of shards that this node holds.
func (n *Node) HeldShards() int {
	held := 0
	for _, part := range n.shards {
		if part.holds() {
			held++
		}
	}
	return held
}

func (s *shard) holds() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding
}
