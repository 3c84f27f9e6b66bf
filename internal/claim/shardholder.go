package claim

import (
	"context"
	"sync"
	"time"

	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/membership"
)

// leaseManager decides whether this node tries to hold a shard, and otherwise tracks its
// holder. The tracked holder may be stale; the lease is authoritative.
type leaseManager struct {
	localShard      *shard
	options         Options
	name            string
	acquireRequests chan struct{}

	mu   sync.Mutex
	hint Hint
}

// yieldAfterChecks is the number of consecutive checks that must find another preferred
// holder before this node releases the shard.
const yieldAfterChecks = 5

func newLeaseManager(localShard *shard, options Options) *leaseManager {
	return &leaseManager{localShard: localShard, options: options, name: shardPrefix(localShard.number), acquireRequests: make(chan struct{}, 1)}
}

// run tries to acquire the lease and hold the shard whenever this node is the preferred
// holder or an acquisition was requested, until ctx ends.
func (m *leaseManager) run(ctx context.Context) {
	requested := false
	for {
		if requested || m.isPreferred() {
			m.tryAcquire(ctx)
		}
		var running bool
		requested, running = m.waitForCheck(ctx)
		if !running {
			return
		}
	}
}

// waitForCheck waits for the next check. A request shortens the wait to about a quarter
// of CheckInterval, but not to zero, to limit the platform calls of a busy node that
// knows no holder. It returns running as false if ctx ends.
func (m *leaseManager) waitForCheck(ctx context.Context) (requested, running bool) {
	minWait := m.options.jitter.around(m.options.CheckInterval / 4)
	if ctxtime.Sleep(ctx, minWait) != nil {
		return false, false
	}
	timer := time.NewTimer(m.options.jitter.around(m.checkInterval()))
	defer timer.Stop()
	select {
	case <-m.acquireRequests:
		return true, true
	case <-timer.C:
		return false, true
	case <-ctx.Done():
		return false, false
	}
}

// otherRegionFactor is the multiple of CheckInterval used while a shard is held in
// another region, to limit the platform calls of the regions' preferred holders. A
// holder that fails is detected by the requests forwarded to it.
const otherRegionFactor = 10

func (m *leaseManager) checkInterval() time.Duration {
	node, address := parseHolderName(m.holderHint().Holder)
	if _, known := findMember(m.options.View, node); !known && address != "" {
		return otherRegionFactor * m.options.CheckInterval
	}
	return m.options.CheckInterval
}

// tryAcquire holds the shard if its lease can be acquired, and returns when the term
// ends.
func (m *leaseManager) tryAcquire(ctx context.Context) {
	callCtx, cancel := context.WithTimeout(ctx, m.options.CallTimeout)
	term, err := m.options.Leases.Acquire(callCtx, m.name)
	cancel()
	if err != nil {
		m.updateHint(hintFromError(err))
		return
	}
	self := m.options.View.Self().Name
	m.clearHolder()
	holdCtx, stop := context.WithCancel(ctx)
	go m.yieldToPreferred(holdCtx, stop)
	err = m.localShard.hold(holdCtx, term, self)
	stop()
	m.localShard.metrics.deleteShard(m.localShard.number)
	if err != nil {
		m.options.Log.WithError(err).WithField("shard", m.localShard.number).Warn("claim shard lost")
	}
	m.releaseLease(ctx, term)
	m.dropAcquireRequest()
}

func (m *leaseManager) releaseLease(ctx context.Context, term Term) {
	callCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), m.options.CallTimeout)
	defer cancel()
	if err := term.Release(callCtx); err != nil {
		m.options.Log.WithError(err).WithField("shard", m.localShard.number).Info("claim lease not released; it will expire")
	}
}

// yieldToPreferred calls stop once another serving node has been the preferred holder
// for yieldAfterChecks consecutive checks. It also returns when ctx ends.
func (m *leaseManager) yieldToPreferred(ctx context.Context, stop func()) {
	for mismatches := 0; mismatches < yieldAfterChecks; {
		if ctxtime.Sleep(ctx, m.options.CheckInterval) != nil {
			return
		}
		mismatches++
		if preferred := m.options.View.Owner(m.name); m.isSelf(preferred) || preferred.State != membership.StateServing {
			mismatches = 0
		}
	}
	stop()
}

func (m *leaseManager) isPreferred() bool { return m.isSelf(m.options.View.Owner(m.name)) }

func (m *leaseManager) isSelf(member membership.Member) bool {
	return member.Name == m.options.View.Self().Name
}

// requestAcquire requests an early attempt to acquire the lease.
func (m *leaseManager) requestAcquire() {
	select {
	case m.acquireRequests <- struct{}{}:
	default:
	}
}

func (m *leaseManager) requestAcquireIfPreferred() {
	if m.isPreferred() {
		m.requestAcquire()
	}
}

// dropAcquireRequest discards a request made during the term that just ended. If it were
// acted on after a handover, this node would take the shard back from its preferred
// holder.
func (m *leaseManager) dropAcquireRequest() {
	select {
	case <-m.acquireRequests:
	default:
	}
}

// updateHint stores the hint and returns true if it is newer than the known one.
func (m *leaseManager) updateHint(hint Hint) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !hint.supersedes(m.hint) {
		return false
	}
	m.hint = hint
	return true
}

// clearHolder forgets the known holder, because it failed to serve a request or this
// node has acquired the lease. The epoch is kept, so that older hints are ignored.
func (m *leaseManager) clearHolder() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.hint.Holder = ""
}

func (m *leaseManager) holderHint() Hint {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.hint
}

// holderAddress returns the peer address of the presumed holder. It prefers the address
// in the lease, since the view may still have that of an earlier process of the node. If
// the presumed holder is this node or has no known address, it returns false and
// requests the lease.
func (m *leaseManager) holderAddress() (string, bool) {
	node, address := parseHolderName(m.holderHint().Holder)
	self := m.options.View.Self().Name
	if address != "" && node != self {
		return address, true
	}
	member, known := findMember(m.options.View, node)
	if !known {
		member = m.options.View.Owner(m.name)
	}
	if member.Name == self || member.PeerAddress == "" {
		m.requestAcquire()
		return "", false
	}
	return member.PeerAddress, true
}
