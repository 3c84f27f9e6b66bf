package explain

import (
	"container/list"
	"hash/maphash"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	shardCount = 16
	// DefaultMaxBytes bounds all timelines of a node.
	DefaultMaxBytes = 4 << 20
)

// Recorder holds the timelines of one node's requests. It is safe for concurrent
// use.
type Recorder struct {
	started    time.Time
	seed       maphash.Seed
	shardBytes int
	shards     [shardCount]shard
	bytes      prometheus.Gauge
	evicted    prometheus.Counter
}

// NewRecorder returns an empty recorder that started at now and keeps at most
// maxBytes of counted bytes.
func NewRecorder(now time.Time, maxBytes int, registry prometheus.Registerer) *Recorder {
	r := &Recorder{
		started: now, seed: maphash.MakeSeed(), shardBytes: maxBytes / shardCount,
		bytes: prometheus.NewGauge(prometheus.GaugeOpts{
			Namespace: "trestle", Name: "explain_bytes",
			Help: "Counted bytes of the requests' timelines kept for trestlectl explain.",
		}),
		evicted: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: "trestle", Name: "explain_evicted_total",
			Help: "Requests' timelines evicted for lack of memory, the oldest first.",
		}),
	}
	for i := range r.shards {
		r.shards[i].recorder = r
		r.shards[i].timelines = make(map[string]*list.Element)
	}
	registry.MustRegister(r.bytes, r.evicted)
	return r
}

// Begin adds the timeline of a request that arrived.
func (r *Recorder) Begin(arrived time.Time, id string, event *Received) *Timeline {
	s := r.shard(id)
	timeline := &Timeline{shard: s, id: id, arrived: arrived, entries: make([]entry, 0, usualEvents)}
	s.mu.Lock()
	s.timelines[id] = s.order.PushBack(timeline)
	s.account(timeline, overheadBytes+len(id)+usualEvents*entryBytes)
	s.mu.Unlock()
	timeline.Add(arrived, event)
	return timeline
}

// Find returns the timeline of a request, or false where it is not kept.
func (r *Recorder) Find(id string) ([]Line, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	at, ok := s.timelines[id]
	if !ok {
		return nil, false
	}
	return at.Value.(*Timeline).lines(), true
}

// Started returns when the recorder was created: it knows nothing older.
func (r *Recorder) Started() time.Time { return r.started }

// Oldest returns the arrival of the oldest timeline kept, or zero for none.
func (r *Recorder) Oldest() time.Time {
	var oldest time.Time
	for i := range r.shards {
		at := r.shards[i].oldest()
		if !at.IsZero() && (oldest.IsZero() || at.Before(oldest)) {
			oldest = at
		}
	}
	return oldest
}

func (s *shard) oldest() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	if front := s.order.Front(); front != nil {
		return front.Value.(*Timeline).arrived
	}
	return time.Time{}
}

func (r *Recorder) shard(id string) *shard {
	return &r.shards[maphash.String(r.seed, id)%shardCount]
}
