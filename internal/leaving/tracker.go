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

// NoteKind is the kind of the membership notes by which votes spread.
const NoteKind = "leaving"

// keySeparator stands between source and name in a note's key.
const keySeparator = "/"

// trackerShards is the number of locks.
const trackerShards = 16

// Publisher spreads notes; membership.Runner implements it.
type Publisher interface {
	Publish(n *membershipv1.Note) error
}

// Tracker is a Set in shards that publishes news. It is safe for concurrent
// use.
type Tracker struct {
	publisher Publisher
	signs     *prometheus.CounterVec
	dropped   prometheus.Counter
	changed   func()
	shards    [trackerShards]trackerShard
}

type trackerShard struct {
	mu  sync.RWMutex
	set *Set
}

// NewTracker returns a tracker to which nobody is leaving. Its Receive is to
// be given to membership.Runner.OnNote with NoteKind.
func NewTracker(publisher Publisher, registerer prometheus.Registerer) *Tracker {
	t := &Tracker{
		publisher: publisher,
		signs: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "trestle_leaving_signs_total",
			Help: "News that a replica or VM leaves or serves again, by source and whether it came from a peer.",
		}, []string{"source", "from_peer", "leaving"}),
		dropped: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "trestle_leaving_unpublished_total",
			Help: "News that could not be given to the peers.",
		}),
	}
	for i := range t.shards {
		t.shards[i].set = NewSet()
	}
	registerer.MustRegister(t.signs, t.dropped)
	return t
}

// OnChange has f called after each piece of news. It must not block, and is set
// before the first sign.
func (t *Tracker) OnChange(f func()) { t.changed = f }

// Leaving reports whether the replica or VM must get no new work.
func (t *Tracker) Leaving(name string) bool {
	shard := t.shard(name)
	shard.mu.RLock()
	defer shard.mu.RUnlock()
	return shard.set.Leaving(time.Now(), name)
}

// RecordEngineLeaving takes in a replica's refusal with the code `leaving`, or a
// load report that says so.
func (t *Tracker) RecordEngineLeaving(name string) {
	t.sign(name, func(s *Set, now time.Time) (Signal, bool) { return s.RecordEngine(now, now, name, true) })
}

// RecordEngineServing takes in a load report that does not say leaving, and when the
// replica measured it by this node's clock.
func (t *Tracker) RecordEngineServing(name string, measured time.Time) {
	t.sign(name, func(s *Set, now time.Time) (Signal, bool) { return s.RecordEngine(now, measured, name, false) })
}

// RecordInstances takes in this node's copy of the platform's list.
func (t *Tracker) RecordInstances(list []platform.Instance) {
	for _, instance := range list {
		leaving := instance.State == platform.InstanceLeaving
		t.sign(instance.Name, func(s *Set, now time.Time) (Signal, bool) {
			return s.RecordInstance(now, instance.Name, leaving)
		})
	}
}

// RecordOperator takes in what the configuration of a revision says of a name.
func (t *Tracker) RecordOperator(name string, leaving bool, revision int64) {
	t.sign(name, func(s *Set, now time.Time) (Signal, bool) {
		return s.RecordOperator(now, name, leaving, revision)
	})
}

// Receive takes in a note of a peer.
func (t *Tracker) Receive(n *membershipv1.Note) {
	source, name, ok := strings.Cut(n.GetKey(), keySeparator)
	if !ok || len(n.GetValue()) != 1 {
		return
	}
	vote := Signal{
		Name: name, Source: Source(source), Leaving: n.Value[0] == valueLeaving,
		Version: n.Version, Expires: time.UnixMilli(n.Expires),
	}
	shard := t.shard(name)
	shard.mu.Lock()
	news := shard.set.Merge(time.Now(), vote)
	shard.mu.Unlock()
	if news {
		t.tell(vote, "yes")
	}
}

// The values of a note.
const (
	valueServing byte = iota
	valueLeaving
)

func (t *Tracker) shard(name string) *trackerShard {
	return &t.shards[xxhash.Sum64String(name)%trackerShards]
}

func (t *Tracker) sign(name string, apply func(*Set, time.Time) (Signal, bool)) {
	shard := t.shard(name)
	shard.mu.Lock()
	vote, news := apply(shard.set, time.Now())
	shard.mu.Unlock()
	if !news {
		return
	}
	t.tell(vote, "no")
	if err := t.publisher.Publish(note(vote)); err != nil {
		t.dropped.Inc()
	}
}

// tell counts a piece of news and passes it on.
func (t *Tracker) tell(vote Signal, fromPeer string) {
	leaving := "no"
	if vote.Leaving {
		leaving = "yes"
	}
	t.signs.WithLabelValues(string(vote.Source), fromPeer, leaving).Inc()
	if t.changed != nil {
		t.changed()
	}
}

func note(vote Signal) *membershipv1.Note {
	value := valueServing
	if vote.Leaving {
		value = valueLeaving
	}
	return &membershipv1.Note{
		Kind:    NoteKind,
		Key:     string(vote.Source) + keySeparator + vote.Name,
		Version: vote.Version,
		Value:   []byte{value},
		Expires: vote.Expires.UnixMilli(),
	}
}
