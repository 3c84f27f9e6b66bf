package leaving

import (
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/prometheus/client_golang/prometheus"

	membershipv1 "galenatrestle/internal/gen/trestle/membership/v1"
	"galenatrestle/internal/platform"
)

// NoteKind is the kind of the membership notes that carry signals.
const NoteKind = "leaving"

// keySeparator separates source and name in a note's key.
const keySeparator = "/"

const trackerShards = 16

// Publisher distributes notes to other nodes; membership.Runner implements it.
type Publisher interface {
	Publish(n *membershipv1.Note) error
}

// Tracker is a sharded Set that publishes changes. It is safe for concurrent use.
type Tracker struct {
	publisher        Publisher
	signalsTotal     *prometheus.CounterVec
	unpublishedTotal prometheus.Counter
	onChange         func()
	shards           [trackerShards]trackerShard
}

type trackerShard struct {
	mu  sync.RWMutex
	set *Set
}

// NewTracker returns an empty tracker. The caller must register Receive with
// membership.Runner.OnNote for NoteKind.
func NewTracker(publisher Publisher, registerer prometheus.Registerer) *Tracker {
	t := &Tracker{
		publisher: publisher,
		signalsTotal: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_leaving_signs_total",
			Help: "News that a replica or VM leaves or serves again, by source and whether it came from a peer.",
		}, []string{"source", "from_peer", "leaving"}),
		unpublishedTotal: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trestle_leaving_unpublished_total",
			Help: "News that could not be given to the peers.",
		}),
	}
	for i := range t.shards {
		t.shards[i].set = NewSet()
	}
	registerer.MustRegister(t.signalsTotal, t.unpublishedTotal)
	return t
}

// OnChange sets a function that is called after each change. It must not block, and
// must be set before the first signal is recorded.
func (t *Tracker) OnChange(f func()) { t.onChange = f }

// Leaving reports whether the replica or VM must get no new work.
func (t *Tracker) Leaving(name string) bool {
	shard := t.shard(name)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.set.Leaving(time.Now(), name)
}

// RecordEngineLeaving records a refusal with the code `leaving`, or a load report that
// says the replica is leaving.
func (t *Tracker) RecordEngineLeaving(name string) {
	t.apply(name, func(s *Set, now time.Time) (Signal, bool) { return s.RecordEngine(now, now, name, true) })
}

// RecordEngineServing records a load report that does not say leaving. measuredAt is
// when the replica measured it, by this node's clock.
func (t *Tracker) RecordEngineServing(name string, measuredAt time.Time) {
	t.apply(name, func(s *Set, now time.Time) (Signal, bool) { return s.RecordEngine(now, measuredAt, name, false) })
}

// RecordInstances records this node's copy of the platform's instance list.
func (t *Tracker) RecordInstances(list []platform.Instance) {
	for _, instance := range list {
		leaving := instance.State == platform.InstanceLeaving
		t.apply(instance.Name, func(s *Set, now time.Time) (Signal, bool) {
			return s.RecordInstance(now, instance.Name, leaving)
		})
	}
}

// RecordOperator records the state of a name in the given configuration revision.
func (t *Tracker) RecordOperator(name string, leaving bool, revision int64) {
	t.apply(name, func(s *Set, now time.Time) (Signal, bool) {
		return s.RecordOperator(now, name, leaving, revision)
	})
}

// Receive merges a note from another node. Malformed notes are ignored.
func (t *Tracker) Receive(n *membershipv1.Note) {
	source, name, ok := strings.Cut(n.GetKey(), keySeparator)
	if !ok || len(n.GetValue()) != 1 {
		return
	}
	signal := Signal{
		Name: name, Source: Source(source), Leaving: n.Value[0] == valueLeaving,
		Version: n.Version, Expires: time.UnixMilli(n.Expires),
	}
	shard := t.shard(name)
	shard.mu.Lock()
	changed := shard.set.Merge(time.Now(), signal)
	shard.mu.Unlock()
	if changed {
		t.notify(signal, "yes")
	}
}

// Values of Note.Value, which is one byte.
const (
	valueServing byte = iota
	valueLeaving
)

func (t *Tracker) shard(name string) *trackerShard {
	return &t.shards[xxhash.Sum64String(name)%trackerShards]
}

func (t *Tracker) apply(name string, update func(*Set, time.Time) (Signal, bool)) {
	shard := t.shard(name)
	shard.mu.Lock()
	signal, changed := update(shard.set, time.Now())
	shard.mu.Unlock()
	if !changed {
		return
	}
	t.notify(signal, "no")
	if err := t.publisher.Publish(toNote(signal)); err != nil {
		t.unpublishedTotal.Inc()
	}
}

// notify counts a change and calls onChange.
func (t *Tracker) notify(signal Signal, fromPeer string) {
	leaving := "no"
	if signal.Leaving {
		leaving = "yes"
	}
	t.signalsTotal.WithLabelValues(string(signal.Source), fromPeer, leaving).Inc()
	if t.onChange != nil {
		t.onChange()
	}
}

func toNote(signal Signal) *membershipv1.Note {
	value := valueServing
	if signal.Leaving {
		value = valueLeaving
	}
	return &membershipv1.Note{
		Kind:    NoteKind,
		Key:     string(signal.Source) + keySeparator + signal.Name,
		Version: signal.Version,
		Value:   []byte{value},
		Expires: signal.Expires.UnixMilli(),
	}
}
