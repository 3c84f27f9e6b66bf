package streamoriginrpc

import (
	"time"

	"galenatrestle/internal/boottime"
	streamoriginv1 "galenatrestle/internal/gen/trestle/streamorigin/v1"
	"galenatrestle/internal/streamorigin"
)

// ToProto converts records to messages, one for each origin. All streams of a message expire with the
// last of them.
func ToProto(records []streamorigin.Record, now boottime.Instant) []*streamoriginv1.Streams {
	var list []*streamoriginv1.Streams
	byOrigin := make(map[streamorigin.Origin]*streamoriginv1.Streams)
	for _, r := range records {
		streams := byOrigin[r.Origin]
		if streams == nil {
			streams = &streamoriginv1.Streams{Upstream: r.Upstream, Version: r.Version}
			byOrigin[r.Origin] = streams
			list = append(list, streams)
		}
		streams.Streams = append(streams.Streams, uint64(r.Stream))
		streams.Left = max(streams.Left, r.Until.Sub(now).Microseconds())
	}
	return list
}

// FromProto converts messages that were received at the instant to records.
func FromProto(list []*streamoriginv1.Streams, now boottime.Instant) []streamorigin.Record {
	var records []streamorigin.Record
	for _, streams := range list {
		origin := streamorigin.Origin{Upstream: streams.GetUpstream(), Version: streams.GetVersion()}
		until := now.Add(time.Duration(streams.GetLeft()) * time.Microsecond)
		for _, stream := range streams.GetStreams() {
			records = append(records, streamorigin.Record{Stream: streamorigin.StreamID(stream), Origin: origin, Until: until})
		}
	}
	return records
}
