package claim

// HeldShards returns the number of shards that this node holds.
func (n *Node) HeldShards() int {
	held := 0
	for _, localShard := range n.shards {
		if localShard.isHeld() {
			held++
		}
	}
	return held
}

func (s *shard) isHeld() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holding
}
