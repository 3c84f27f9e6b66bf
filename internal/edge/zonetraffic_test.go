package edge

import (
	"context"
	"strings"
	"testing"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/nodesync"
	"galenatrestle/internal/replica"
	"galenatrestle/internal/settings"
)

// Guards against a misspelt zone in a forbidden pair that nobody notices, and against one that stops a
// node because its replicas register later.
func TestForbiddenZonesThatNobodyRegistersAreLoggedOnce(t *testing.T) {
	share := 1.0
	section := &settings.ZoneTraffic{MaxShare: &share, Forbidden: []settings.ZonePair{{From: "hall-a", To: "hall-x"}, {From: "hall-b", To: "hall-a"}}}
	output := &lockedBuffer{}
	n := &Node{
		options: Options{Settings: &settings.Settings{AvailabilityZone: "hall-a", PassThrough: &settings.PassThrough{ZoneTraffic: section}}, Clock: boottime.Now},
		log:     eventlog.New(output, "vm-1"), nodes: nodesync.NewNodes("vm-1", nil),
	}
	listing := &replica.Listing{Revision: 1, Replicas: []replica.Replica{{ID: "i-1", AvailabilityZone: "hall-b"}}}
	n.zoneWarner.warn(n, &replica.Listing{})
	n.zoneWarner.warn(n, listing)
	n.zoneWarner.warn(n, listing)
	n.log.Flush()
	if got := output.String(); strings.Count(got, "zone_not_registered") != 1 || !strings.Contains(got, `"value":"hall-x"`) {
		t.Errorf("logged %s", got)
	}
}

// Guards against a section that is checked and then not used.
func TestTheSectionTurnsZoneTrafficOn(t *testing.T) {
	d := newDeployment(t)
	if d.nodes[0].hasMetric("trestle_zone_share") {
		t.Error("a node without the section has the metrics")
	}
	s := *d.nodes[0].options.Settings
	pass := *s.PassThrough
	share := 0.5
	pass.ZoneTraffic = &settings.ZoneTraffic{RequestsPerGigabyte: 1000, MaxShare: &share, Forbidden: []settings.ZonePair{{From: "hall-a", To: "hall-x"}}}
	s.PassThrough, s.Name = &pass, "vm-3"
	n, err := New(Options{
		Settings: &s, Store: nodeStore{d.store, "vm-3"}, Codec: forwardtest.Codec{}, Decode: decodeDocument,
		Wire: testWire{}, Clock: boottime.Now, Seed: 1, Output: &lockedBuffer{}, Duties: d.duties,
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := n.Run(ctx); err != nil {
		t.Error(err)
	}
	if running := (&runningNode{Node: n}); !running.hasMetric("trestle_zone_share") {
		t.Error("a node with the section has no metrics of it")
	}
}

// hasMetric reports whether the node registered the metric.
func (n *runningNode) hasMetric(name string) bool {
	descriptions := make(chan *prometheus.Desc, 1000)
	n.registry.Describe(descriptions)
	close(descriptions)
	for d := range descriptions {
		if strings.Contains(d.String(), `"`+name+`"`) {
			return true
		}
	}
	return false
}
