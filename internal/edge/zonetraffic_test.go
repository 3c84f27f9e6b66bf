package edge

import (
	"strings"
	"testing"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/eventlog"
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
