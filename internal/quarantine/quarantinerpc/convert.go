package quarantinerpc

import (
	"time"

	quarantinev1 "galenatrestle/internal/gen/trestle/quarantine/v1"
	"galenatrestle/internal/quarantine"
)

// ToProto converts records to messages.
func ToProto(records []quarantine.Record) []*quarantinev1.Record {
	list := make([]*quarantinev1.Record, 0, len(records))
	for _, r := range records {
		list = append(list, &quarantinev1.Record{
			Fingerprint: uint64(r.Fingerprint),
			LastCrash:   toMicros(r.LastCrash),
			LastReplica: r.LastReplica,
			Crashes:     int32(r.Crashes),
			Until:       toMicros(r.Until),
			ClearedAt:   toMicros(r.ClearedAt),
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
			LastCrash:   fromMicros(r.GetLastCrash()),
			LastReplica: r.GetLastReplica(),
			Crashes:     int(r.GetCrashes()),
			Until:       fromMicros(r.GetUntil()),
			ClearedAt:   fromMicros(r.GetClearedAt()),
		})
	}
	return records
}

func toMicros(t time.Time) int64 {
	if t.IsZero() {
		return 0
	}
	return t.UnixMicro()
}

func fromMicros(micros int64) time.Time {
	if micros == 0 {
		return time.Time{}
	}
	return time.UnixMicro(micros)
}
