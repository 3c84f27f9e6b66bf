package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/ctxtime"
	"galenatrestle/internal/nodesync"
)

// The nodes of a large fleet must not all read the store at the same time: most get copies from hubs,
// and together their reads would take more than the store's link carries, so that none would end.

// firstReadDelay is how long nodes other than seeds wait before they read the store at a
// fleet's first start. There is no traffic yet and the configuration may be missing, so
// reads by every node would only load the store: each of 295 nodes made eight calls before the first
// caller came.
const firstReadDelay = 3 * time.Second

// hubLeadTime is how much earlier a primary hub reads again what other nodes have told it.
// Otherwise the copies of all nodes are due at the end of firstReadDelay, and all read at once.
const hubLeadTime = firstReadDelay / 2

const (
	// restartReadDelay is how long a node that restarts waits for the copies of other nodes
	// before it reads the store: in a large fleet a read of the registrations takes dozens
	// of calls.
	restartReadDelay = 300 * time.Millisecond
	// restartReadJitter spreads the reads of nodes that restart together, so that most of
	// them get the copies that the first ones read.
	restartReadJitter = 600 * time.Millisecond
)

// firstReadAt returns when the node may read records that it has no copy of; zero means
// at once.
func (n *Node) firstReadAt(isSeed bool, random *rand.Rand) boottime.Instant {
	switch {
	case isSeed:
		return 0
	case n.options.Settings.PassThrough.FirstStart:
		return n.options.Clock().Add(firstReadDelay)
	case len(n.options.Settings.Peers.Seeds) == 0:
		return 0
	default:
		return n.options.Clock().Add(restartReadDelay + time.Duration(random.Int64N(int64(restartReadJitter))))
	}
}

const (
	// unspreadNodes is the fleet size up to which nodes do not spread their reads of large records.
	unspreadNodes = 100
	// hubReadTime is how long the other nodes of a larger fleet leave the first reads to the primary
	// hubs.
	hubReadTime = 3 * time.Second
	// spreadPerNode limits the members of a larger fleet that read the store by themselves to ten a
	// second: a listing of ten replicas a node takes megabytes of the store's link.
	spreadPerNode = 100 * time.Millisecond
)

// spreadOfRole returns how long the nodes of a role in a large fleet leave the reads of a large record
// to the primary hubs, and the time after it over which they spread their own reads. Most of them get
// a copy from their hub in the meantime. If all read at once, no read would end, not even the hubs'.
func (r *reader) spreadOfRole(role nodesync.Role) (delay, spread time.Duration) {
	others := r.fleetSize() - unspreadNodes
	if others <= 0 {
		return 0, 0
	}
	switch role {
	case nodesync.SecondaryHub:
		return hubReadTime, hubReadTime
	case nodesync.Member:
		return hubReadTime, time.Duration(others) * spreadPerNode
	default:
		return 0, 0
	}
}

const (
	// copyPollInterval is how often waitForCopy looks for a copy.
	copyPollInterval = 200 * time.Millisecond
	// firstReadTime is how long the nodes without a copy wait for one that another node reads.
	firstReadTime = 2 * time.Second
	// maxCopyWait bounds that wait if ever more nodes begin to read.
	maxCopyWait = 5 * time.Second
	// hubSettleTime is how long a node must be a primary hub to read although another node does. A
	// node that starts may be one until it knows the others.
	hubSettleTime = 400 * time.Millisecond
)

// waitForCopy waits for other nodes' copies of a large record that this node has none of, until a
// copy arrives or the node has to read by itself. It returns false if ctx ended.
func (r *reader) waitForCopy(ctx context.Context, random *rand.Rand, rec record) bool {
	began, hubSince := time.Now(), time.Now()
	fraction := random.Float64()
	for !rec.hasCopy() {
		role := r.role()
		if role != nodesync.PrimaryHub {
			hubSince = time.Now()
		}
		if time.Since(hubSince) >= hubSettleTime || r.mayReadFirst(role, time.Since(began), fraction) {
			return true
		}
		if ctxtime.Sleep(ctx, copyPollInterval) != nil {
			return false
		}
	}
	return ctx.Err() == nil
}

// mayReadFirst reports whether a node without a copy that has waited for the given time reads the
// store. fraction is the node's random position among those that wait.
func (r *reader) mayReadFirst(role nodesync.Role, waited time.Duration, fraction float64) bool {
	delay, spread := r.spreadOfRole(role)
	if waited < delay+time.Duration(fraction*float64(spread)) {
		return false
	}
	since, known := r.sinceOthersFirstRead()
	return !known || waited >= maxCopyWait || since >= firstReadTime+time.Duration(fraction*float64(firstReadTime))
}

// roleAtStore returns the role that determines the node's calls of the store. A node that is cut off
// from the others of a large fleet has no hub, but must not call the store as the nodes of a small
// fleet do: hundreds may be cut off together.
func (n *Node) roleAtStore() nodesync.Role {
	return roleAtStore(n.sync.Role(), n.sync.FleetSize())
}

func roleAtStore(role nodesync.Role, fleetSize int) nodesync.Role {
	if role == nodesync.Peer && fleetSize > unspreadNodes {
		return nodesync.Member
	}
	return role
}
