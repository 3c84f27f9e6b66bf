package node

import (
	"context"
	"sync"
	"time"
)

// dutyTurn is the time in which this node tries to hold the duty.
type dutyTurn struct {
	mu sync.Mutex
	// base is done when the node closes.
	base context.Context
	// off says that the node is withdrawn.
	off bool
	// stop ends the turn; nil outside of one.
	stop context.CancelFunc
	// ended is closed when the last turn's lease was handed on.
	ended chan struct{}
}

// held says whether this node holds the duty.
func (m *moves) held() bool {
	if m == nil || m.holder == nil {
		return false
	}
	_, held := m.holder.Held(time.Now())
	return held
}

// handOn gives the duty to another node, without waiting for that.
func (m *moves) handOn() {
	if m == nil {
		return
	}
	m.turn.mu.Lock()
	defer m.turn.mu.Unlock()
	m.turn.off = true
	if m.turn.stop != nil {
		m.turn.stop()
		m.turn.stop = nil
	}
}

// takeUp makes this node try to hold the duty again after a handOn.
func (m *moves) takeUp() {
	if m == nil || m.holder == nil {
		return
	}
	m.turn.mu.Lock()
	defer m.turn.mu.Unlock()
	m.turn.off = false
	m.begin()
}

// startDuty makes this node try to hold the duty until ctx ends.
func (m *moves) startDuty(ctx context.Context) {
	if m.holder == nil {
		return
	}
	m.turn.mu.Lock()
	defer m.turn.mu.Unlock()
	m.turn.base = ctx
	m.begin()
}

// begin begins a turn, once an earlier one has ended. The lock is held.
func (m *moves) begin() {
	if m.turn.off || m.turn.stop != nil || m.turn.base == nil || m.turn.base.Err() != nil {
		return
	}
	before, ended := m.turn.ended, make(chan struct{})
	ctx, stop := context.WithCancel(m.turn.base)
	m.turn.stop, m.turn.ended = stop, ended
	m.running.Go(func() {
		defer close(ended)
		if before != nil {
			<-before
		}
		_ = m.holder.Run(ctx)
	})
}

// endDuty ends the turn for good; a later takeUp finds the base done.
func (m *moves) endDuty() {
	m.turn.mu.Lock()
	defer m.turn.mu.Unlock()
	m.stop()
}
