package configsync

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"galenatrestle/internal/config"
	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
	"galenatrestle/internal/membership"
)

// Options are what a Syncer needs.
type Options struct {
	Repository *Repository
	Current    *Current
	View       membership.View
	Peers      Peers
	// Contacts returns peer addresses besides the view's members: the seeds
	// of the settings and nodes of other regions. May be nil.
	Contacts func() []string
	// NewestRevision returns the highest revision that any node of any region
	// is known to have in force. May be nil: then the view's members count.
	NewestRevision func() int64
	// InForce, where not nil, is called with each revision when it comes into
	// force here, one call after the other and in rising order.
	InForce func(*config.Index)
	// Seed makes the jitter repeatable.
	Seed     uint64
	Log      logrus.FieldLogger
	Registry prometheus.Registerer
}

// Syncer keeps a node's configuration at the newest revision and passes it on.
type Syncer struct {
	repository *Repository
	current    *Current
	view       membership.View
	peers      Peers
	contacts   func() []string
	newest     func() int64
	inForce    func(*config.Index)
	log        logrus.FieldLogger
	metrics    *metrics
	deltas     deltaLog

	mu  sync.Mutex
	rng *rand.Rand
	// applying keeps two goroutines from unpacking one revision each.
	applying sync.Mutex
	// heard wakes the exchange loop to pull from an address.
	heard chan string
	// accepted holds the records that are still to be tidied up after.
	accepted chan Record
	answers  answers
	// unanswered holds the notices to repeat.
	unanswered unanswered
}

// New returns a Syncer; Run starts it.
func New(options Options) *Syncer {
	contacts := options.Contacts
	if contacts == nil {
		contacts = func() []string { return nil }
	}
	inForce := options.InForce
	if inForce == nil {
		inForce = func(*config.Index) {}
	}
	newest := options.NewestRevision
	if newest == nil {
		newest = func() int64 { return 0 }
	}
	return &Syncer{
		repository: options.Repository,
		current:    options.Current,
		view:       options.View,
		peers:      options.Peers,
		contacts:   contacts,
		newest:     newest,
		inForce:    inForce,
		log:        options.Log,
		metrics:    newMetrics(options.Current, options.Registry),
		rng:        rand.New(rand.NewPCG(options.Seed, 0)),
		heard:      make(chan string, 1),
		accepted:   make(chan Record, maxUntidied),
	}
}

// Run takes the newest configuration from peers and the platform and keeps it
// so until ctx ends. It returns nil then.
func (s *Syncer) Run(ctx context.Context) error {
	s.bootstrap(ctx)
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { s.watchLoop(ctx); return nil })
	group.Go(func() error { s.pollLoop(ctx); return nil })
	group.Go(func() error { s.exchangeLoop(ctx); return nil })
	group.Go(func() error { s.tidyLoop(ctx); return nil })
	return group.Wait()
}

// takeRecord puts an accepted record of the platform in force if it is higher.
// It reports whether it did. No lock is held while the document is read, so
// that a slow platform keeps no notice waiting.
func (s *Syncer) takeRecord(ctx context.Context, record Record, from source) (bool, error) {
	if done, moved := s.takeDelta(record, from); done {
		return moved, nil
	}
	document, err := s.repository.Document(ctx, record)
	if err != nil {
		s.countFailure(err, "read document")
		return false, err
	}
	state, err := stateOfRecord(record, document)
	if err != nil {
		return false, err
	}
	s.applying.Lock()
	defer s.applying.Unlock()
	return s.move(state, from), nil
}

// takeDelta takes a record without its document: done means that it is no news
// or that its patch led there.
func (s *Syncer) takeDelta(record Record, from source) (done, moved bool) {
	s.applying.Lock()
	defer s.applying.Unlock()
	if !s.isNews(wireOfRecord(record), from) {
		return true, false
	}
	delta := deltaOf(record)
	moved = delta != nil && s.applyDeltas([]*configsyncv1.Delta{delta}, from)
	return moved, moved
}

// deltaOf returns the delta that a record carries, or nil.
func deltaOf(record Record) *configsyncv1.Delta {
	if record.Patch == nil {
		return nil
	}
	return &configsyncv1.Delta{FromRevision: record.Base, To: wireOfRecord(record), Patch: record.Patch}
}

// isNews tells whether the revision is above the one in force; it counts and
// logs what contradicts the one in force.
func (s *Syncer) isNews(revision *configsyncv1.Revision, from source) bool {
	state := s.current.State()
	switch {
	case revision.GetRevision() > state.Revision():
		return true
	case revision.GetRevision() < state.Revision():
		s.ignore(ignoredLower, revision, from)
	case revision.GetRevision() > 0 && revision.GetWriteId() != state.ID:
		s.ignore(ignoredDiverged, revision, from)
	}
	return false
}

func (s *Syncer) ignore(why ignored, revision *configsyncv1.Revision, from source) {
	s.metrics.ignored.WithLabelValues(string(why)).Inc()
	if why == ignoredLower && from != sourcePlatform {
		// Peers that lag are ordinary.
		return
	}
	s.log.WithFields(logrus.Fields{
		"step": "configuration", "peer": string(from), "reason": string(why),
		"heard_revision": revision.GetRevision(), "revision": s.current.Revision(),
	}).Warn("configuration ignored")
}

// applyDeltas applies those deltas that follow on what is in force, if they
// lead to a higher revision with the right sum. Callers hold applying.
func (s *Syncer) applyDeltas(deltas []*configsyncv1.Delta, from source) bool {
	state := s.current.State()
	if state == nil {
		return false
	}
	document := state.Index.Document()
	at := state.Revision()
	var last *configsyncv1.Revision
	var applied []*configsyncv1.Delta
	for _, delta := range deltas {
		if delta.GetFromRevision() != at || delta.GetTo().GetRevision() <= at {
			continue
		}
		patch, err := unpackPatch(delta.GetPatch())
		if err != nil {
			return false
		}
		document = patch.Apply(document)
		applied = append(applied, delta)
		last = delta.GetTo()
		at = last.GetRevision()
	}
	if last == nil || !s.hasSum(document, last, from) {
		return false
	}
	moved := s.move(stateOfWire(last, document), from)
	if moved {
		s.deltas.add(applied...)
	}
	return moved
}

func (s *Syncer) hasSum(document *config.Document, revision *configsyncv1.Revision, from source) bool {
	sum, err := config.SumOf(document)
	if err == nil && sum == wireSum(revision) {
		return true
	}
	s.ignore(ignoredSum, revision, from)
	return false
}

// move puts state in force if it is higher. Callers hold applying.
func (s *Syncer) move(state *State, from source) bool {
	if !s.current.Move(state) {
		return false
	}
	s.inForce(state.Index)
	s.metrics.moves.WithLabelValues(string(from)).Inc()
	s.log.WithFields(logrus.Fields{
		"step": "configuration", "peer": string(from), "revision": state.Revision(), "author": state.Author,
	}).Info("configuration in force")
	return true
}

// jitter returns a duration between 3/4 and 5/4 of the period.
func (s *Syncer) jitter(period time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return period*3/4 + time.Duration(s.rng.Int64N(int64(period/2)+1))
}

func (s *Syncer) pick(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rng.IntN(n)
}

func (s *Syncer) countFailure(err error, step string) {
	if errors.Is(err, context.Canceled) {
		return
	}
	s.metrics.failures.WithLabelValues(step).Inc()
	s.log.WithError(err).WithField("step", step).Debug("configuration step failed")
}
