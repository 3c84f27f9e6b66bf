package nodesync

import (
	"time"

	nodesyncquarantine "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/quarantine/quarantinerpc"
)

const (
	// crashNews is the age up to which crashes are told: some forty rounds.
	crashNews = 20 * time.Second
	// maxCrashes bounds the records in one message.
	maxCrashes = 256
)

// recentCrashes are the records that other nodes may not have yet.
func recentCrashes(records []quarantine.Record, now time.Time) []*nodesyncquarantine.Record {
	var recent []quarantine.Record
	for _, r := range records {
		if now.Sub(r.LastCrash) < crashNews && len(recent) < maxCrashes {
			recent = append(recent, r)
		}
	}
	return quarantinerpc.ToProto(recent)
}
