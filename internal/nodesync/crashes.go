package nodesync

import (
	"time"

	nodesyncquarantine "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/quarantine/quarantinerpc"
)

const (
	// crashMaxAge bounds the age of the crashes that are sent; it is about ninety
	// rounds.
	crashMaxAge     = 20 * time.Second
	maxCrashRecords = 256
)

// recentCrashes returns the records that other nodes may not have yet.
func recentCrashes(records []quarantine.Record, now time.Time) []*nodesyncquarantine.Record {
	var recent []quarantine.Record
	for _, r := range records {
		if now.Sub(r.LastCrash) < crashMaxAge && len(recent) < maxCrashRecords {
			recent = append(recent, r)
		}
	}
	return quarantinerpc.ToProto(recent)
}

// mergeCrashes merges the records of another node and logs the quarantines that are new here.
func (s *Sync) mergeCrashes(records []*nodesyncquarantine.Record, from string) {
	if len(records) == 0 {
		return
	}
	now := time.Now()
	for _, r := range s.options.Tracker.Merge(now, quarantinerpc.FromProto(records)) {
		s.options.Log.Write(&quarantineReceived{from: from, record: r, now: now})
	}
}
