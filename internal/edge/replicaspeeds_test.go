package edge

import (
	"bytes"
	"strings"
	"testing"

	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/replicaspeed"
)

// Guards against a zone that turns slow filling the log.
func TestChangesOfSpeedAreLoggedAFewTimesASecond(t *testing.T) {
	var out bytes.Buffer
	log := eventlog.New(&out, "vm-1")
	changes := &speedChanges{log: log}
	for range 50 {
		changes.write(placement.SpeedChange{Speed: replicaspeed.Reading{Class: replicaspeed.Slow}, PeersAge: placement.NoPeers})
	}
	log.Flush()
	lines := strings.Count(out.String(), "replica_speed_changed")
	if lines < maxSpeedLines || lines > 2*maxSpeedLines {
		t.Errorf("%d lines of 50 changes", lines)
	}
	if !strings.Contains(out.String(), `"to":"slow"`) || !strings.Contains(out.String(), `"peers_known":false`) {
		t.Errorf("fields are missing: %s", out.String())
	}
}
