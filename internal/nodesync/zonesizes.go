package nodesync

import (
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"galenatrestle/internal/boottime"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
)

const (
	// zoneSizeTTL is how long another node's count of a zone's nodes is used: enough rounds to
	// reach all nodes.
	zoneSizeTTL = 10 * time.Second
	// maxZoneSizes bounds the zones in one message.
	maxZoneSizes = 64
)

// zoneSizes is the largest recent count of the nodes of each availability zone. All nodes must
// compute the same number of hubs, but in a large fleet a node hears of most others too rarely
// to count them itself. It is safe for concurrent use.
type zoneSizes struct {
	mu     sync.Mutex
	byZone map[string]zoneSize
}

type zoneSize struct {
	nodes     int
	countedAt boottime.Instant
}

// merge records counts of this node or of another one. Larger counts replace smaller ones.
func (z *zoneSizes) merge(sizes map[string]zoneSize, now boottime.Instant) {
	z.mu.Lock()
	defer z.mu.Unlock()
	if z.byZone == nil {
		z.byZone = make(map[string]zoneSize)
	}
	for zone, size := range sizes {
		known, ok := z.byZone[zone]
		if !ok && len(z.byZone) >= maxZoneSizes {
			continue
		}
		newer := size.nodes == known.nodes && size.countedAt > known.countedAt
		if size.recent(now) && (!known.recent(now) || size.nodes > known.nodes || newer) {
			z.byZone[zone] = size
		}
	}
}

func (s zoneSize) recent(now boottime.Instant) bool {
	return s.countedAt != 0 && now.Sub(s.countedAt) < zoneSizeTTL
}

// of returns the largest recent count of the zone; zero if there is none.
func (z *zoneSizes) of(zone string, now boottime.Instant) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	if size := z.byZone[zone]; size.recent(now) {
		return size.nodes
	}
	return 0
}

// total returns the sum of the recent counts.
func (z *zoneSizes) total(now boottime.Instant) int { return z.totalUpTo(math.MaxInt, now) }

// totalUpTo returns the sum of the recent counts, each of at most limit.
func (z *zoneSizes) totalUpTo(limit int, now boottime.Instant) int {
	z.mu.Lock()
	defer z.mu.Unlock()
	total := 0
	for _, size := range z.byZone {
		if size.recent(now) {
			total += min(size.nodes, limit)
		}
	}
	return total
}

// FleetSize returns the number of nodes of the fleet, including this one: those that this node
// knows, or those that all nodes know together if that is more.
func (s *Sync) FleetSize() int {
	now := s.options.Clock()
	return max(s.options.Nodes.KnownCount(now), s.zoneSizes.total(now))
}

func (z *zoneSizes) toProto(now boottime.Instant) []*nodesyncv1.ZoneSize {
	z.mu.Lock()
	defer z.mu.Unlock()
	var list []*nodesyncv1.ZoneSize
	for zone, size := range z.byZone {
		if size.recent(now) {
			list = append(list, &nodesyncv1.ZoneSize{Zone: zone, Nodes: int32(size.nodes), Age: now.Sub(size.countedAt).Microseconds()})
		}
	}
	slices.SortFunc(list, func(a, b *nodesyncv1.ZoneSize) int { return strings.Compare(a.GetZone(), b.GetZone()) })
	return list
}

func zoneSizesFromProto(list []*nodesyncv1.ZoneSize, receivedAt boottime.Instant) map[string]zoneSize {
	sizes := make(map[string]zoneSize, len(list))
	for _, size := range list {
		sizes[size.GetZone()] = zoneSize{nodes: int(size.GetNodes()), countedAt: receivedAt.Add(-microseconds(size.GetAge()))}
	}
	return sizes
}
