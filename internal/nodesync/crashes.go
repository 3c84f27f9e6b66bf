package nodesync

import (
	"cmp"
	"slices"
	"time"

	"galenatrestle/internal/crashcause/crashcauserpc"
	crashcausev1 "galenatrestle/internal/gen/trestle/crashcause/v1"
	nodesyncv1 "galenatrestle/internal/gen/trestle/nodesync/v1"
	quarantinev1 "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/quarantine"
	"galenatrestle/internal/quarantine/quarantinerpc"
)

const (
	// crashMaxAge bounds the age of the changes that are sent in every call; it is about
	// ninety rounds.
	crashMaxAge     = 20 * time.Second
	maxCrashRecords = 256
)

// addCrashes adds the records that other nodes may not have yet, and the digest by which the
// answering node sees whether this node has all quarantines.
func (s *Sync) addCrashes(request *nodesyncv1.ExchangeRequest) {
	now := time.Now()
	records := s.options.Tracker.Records(now)
	request.Crashes = quarantinerpc.ToProto(recentCrashes(records, now))
	request.QuarantinesDigest = quarantine.Digest(quarantines(records))
	request.CrashCausesDigest = s.options.CrashCauses.Digest()
	request.CrashCauses = crashcauserpc.ToProto(s.options.CrashCauses.Shared(now, request.GetCrashCausesDigest()))
}

// crashesFor returns the records for a caller whose quarantines have the digest.
func (s *Sync) crashesFor(digest uint64) []*quarantinev1.Record {
	now := time.Now()
	records := s.options.Tracker.Records(now)
	crashes := recentCrashes(records, now)
	if held := quarantines(records); quarantine.Digest(held) != digest {
		crashes = append(crashes, held...)
	}
	return quarantinerpc.ToProto(crashes)
}

// recentCrashes returns the records that have changed recently.
func recentCrashes(records []quarantine.Record, now time.Time) []quarantine.Record {
	var recent []quarantine.Record
	for _, r := range records {
		isRecent := now.Sub(r.LastCrash) < crashMaxAge || now.Sub(r.ClearedAt) < crashMaxAge
		if isRecent && len(recent) < maxCrashRecords {
			recent = append(recent, r)
		}
	}
	return recent
}

// quarantines returns the records of requests that have been quarantined, those with the latest
// end first.
func quarantines(records []quarantine.Record) []quarantine.Record {
	var held []quarantine.Record
	for _, r := range records {
		if !r.Until.IsZero() {
			held = append(held, r)
		}
	}
	slices.SortFunc(held, func(a, b quarantine.Record) int {
		return cmp.Or(b.Until.Compare(a.Until), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return held[:min(len(held), maxCrashRecords)]
}

// mergeCrashCauses merges the records of another node.
func (s *Sync) mergeCrashCauses(records []*crashcausev1.Record) {
	s.options.CrashCauses.Merge(time.Now(), crashcauserpc.FromProto(records))
}

// mergeCrashes merges the records of another node and logs the quarantines that are new here.
func (s *Sync) mergeCrashes(records []*quarantinev1.Record, from string) {
	if len(records) == 0 {
		return
	}
	now := time.Now()
	for _, r := range s.options.Tracker.Merge(now, quarantinerpc.FromProto(records)) {
		s.options.Log.Write(&quarantineReceived{from: from, record: r, now: now})
	}
}
