package edge

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/settings"
	"galenatrestle/internal/zonetraffic"
)

// setUpZoneTraffic lets the settings decide which requests leave the availability zone.
func (n *Node) setUpZoneTraffic() {
	s := n.options.Settings
	t := s.PassThrough.ZoneTraffic
	if t == nil {
		return
	}
	n.placer.SetZoneTraffic(&placement.ZoneTraffic{
		Policy: zoneTrafficPolicy(t), RoundTrips: &zonetraffic.RoundTrips{}, Metrics: zonetraffic.NewMetrics(n.registry),
		OnChange: func(upstream, flow string, c zonetraffic.Change) {
			n.log.Write(&zonetraffic.ShareChanged{Upstream: upstream, Flow: flow, Home: s.AvailabilityZone, Change: c})
		},
	})
}

func zoneTrafficPolicy(t *settings.ZoneTraffic) zonetraffic.Policy {
	policy := zonetraffic.Policy{RequestsPerGigabyte: t.RequestsPerGigabyte, MaxShare: *t.MaxShare, CopyBytesPerToken: t.CopyBytesPerToken}
	for _, pair := range t.Forbidden {
		policy.Forbidden = append(policy.Forbidden, zonetraffic.Pair{From: pair.From, To: pair.To})
	}
	return policy
}

// dialTimed opens a connection to a replica. The time that a direct one takes tells the network latency
// to its zone.
func (n *Node) dialTimed(ctx context.Context, address string) (net.Conn, error) {
	started := time.Now()
	conn, err := n.path.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if _, relayed := conn.(interface{ Via() string }); !relayed {
		n.placer.ObserveConnect(address, time.Since(started))
	}
	return conn, nil
}

// zoneWarner warns once of zones in forbidden pairs in which no replica or node is registered.
type zoneWarner struct{ done atomic.Bool }

// warn is called with each listing of replicas.
func (w *zoneWarner) warn(n *Node, listing *replica.Listing) {
	t := n.options.Settings.PassThrough.ZoneTraffic
	if t == nil || len(t.Forbidden) == 0 || len(listing.Replicas) == 0 || listing.Zone != "" || w.done.Swap(true) {
		return
	}
	known := map[string]bool{n.options.Settings.AvailabilityZone: true}
	for _, r := range listing.Replicas {
		known[r.AvailabilityZone] = true
	}
	for _, node := range n.nodes.Alive(n.options.Clock()) {
		known[node.AvailabilityZone] = true
	}
	for i, pair := range t.Forbidden {
		for field, zone := range map[string]string{"from": pair.From, "to": pair.To} {
			if !known[zone] {
				n.log.Write(&lifecycle{name: "zone_not_registered", fields: eventlog.Fields{"field": "pass_through.zone_traffic.forbidden", "entry": i, "end": field, "value": zone}})
			}
		}
	}
}
