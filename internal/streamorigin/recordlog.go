package streamorigin

import "galenatrestle/internal/boottime"

// recordLog has the latest records in the order in which they came, each with a position. It is not
// safe for concurrent use.
type recordLog struct {
	records []Record
	// first is the position of the first record.
	first uint64
}

func (l *recordLog) end() uint64 { return l.first + uint64(len(l.records)) }

// add appends the record and drops expired records from the beginning.
func (l *recordLog) add(r Record, now boottime.Instant) {
	dropped := 0
	for dropped < len(l.records) && (now >= l.records[dropped].Until || len(l.records)-dropped >= maxRecords) {
		dropped++
	}
	l.records, l.first = append(l.records[dropped:], r), l.first+uint64(dropped)
}

// since returns the records from the position on.
func (l *recordLog) since(position uint64) []Record {
	from := max(position, l.first) - l.first
	return l.records[min(from, uint64(len(l.records))):]
}
