// Package crashcauserpc converts the records of package crashcause to and from messages. It has no state.
package crashcauserpc

import (
	"galenatrestle/internal/crashcause"
	"galenatrestle/internal/ctxtime"
	crashcausev1 "galenatrestle/internal/gen/trestle/crashcause/v1"
)

// ToProto converts records to messages.
func ToProto(records []crashcause.Record) []*crashcausev1.Record {
	list := make([]*crashcausev1.Record, 0, len(records))
	for _, r := range records {
		message := &crashcausev1.Record{Factor: uint64(r.Factor), SoundAt: ctxtime.ToMicros(r.SoundAt)}
		for _, c := range r.Crashes {
			message.Crashes = append(message.Crashes, &crashcausev1.Crash{
				Replica: uint64(c.Replica), StartedAt: ctxtime.ToMicros(c.StartedAt), At: ctxtime.ToMicros(c.At), Trial: c.Trial,
			})
		}
		list = append(list, message)
	}
	return list
}

// FromProto converts messages to records.
func FromProto(list []*crashcausev1.Record) []crashcause.Record {
	records := make([]crashcause.Record, 0, len(list))
	for _, message := range list {
		r := crashcause.Record{Factor: crashcause.Factor(message.GetFactor()), SoundAt: ctxtime.FromMicros(message.GetSoundAt())}
		for _, c := range message.GetCrashes() {
			r.Crashes = append(r.Crashes, crashcause.Crash{
				Replica: crashcause.ReplicaHash(c.GetReplica()), StartedAt: ctxtime.FromMicros(c.GetStartedAt()), At: ctxtime.FromMicros(c.GetAt()), Trial: c.GetTrial(),
			})
		}
		records = append(records, r)
	}
	return records
}
