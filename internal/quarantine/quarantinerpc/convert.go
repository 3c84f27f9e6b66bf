package quarantinerpc

import (
	"galenatrestle/internal/ctxtime"
	quarantinev1 "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/quarantine"
)

// ToProto converts records to messages.
func ToProto(records []quarantine.Record) []*quarantinev1.Record {
	list := make([]*quarantinev1.Record, 0, len(records))
	for _, r := range records {
		list = append(list, &quarantinev1.Record{
			Fingerprint: uint64(r.Fingerprint),
			LastCrash:   ctxtime.ToMicros(r.LastCrash),
			LastReplica: r.LastReplica,
			Crashes:     int32(r.Crashes),
			Until:       ctxtime.ToMicros(r.Until),
			ClearedAt:   ctxtime.ToMicros(r.ClearedAt),
		})
	}
	return list
}

// FromProto converts messages to records.
func FromProto(list []*quarantinev1.Record) []quarantine.Record {
	records := make([]quarantine.Record, 0, len(list))
	for _, r := range list {
		records = append(records, quarantine.Record{
			Fingerprint: quarantine.Fingerprint(r.GetFingerprint()),
			LastCrash:   ctxtime.FromMicros(r.GetLastCrash()),
			LastReplica: r.GetLastReplica(),
			Crashes:     int(r.GetCrashes()),
			Until:       ctxtime.FromMicros(r.GetUntil()),
			ClearedAt:   ctxtime.FromMicros(r.GetClearedAt()),
		})
	}
	return records
}
