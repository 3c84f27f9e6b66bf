package quarantine

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	runningShards = 16
	// restartTime is how long a replica that has not answered since its crash
	// counts as still down: lost connections to it are no evidence against the
	// requests on them.
	restartTime = 10 * time.Second
)

// ActiveRuns tracks which requests of this node run on which replica. Its size is
// bounded by the requests in flight and the replicas that crashed in the last
// restartTime. It is safe for concurrent use.
type ActiveRuns struct {
	seed   maphash.Seed
	shards [runningShards]runningShard

	// mu guards suspects: the runs of suspects, by fingerprint.
	mu       sync.Mutex
	suspects map[Fingerprint]bool
}

type runningShard struct {
	mu       sync.Mutex
	replicas map[string]*replicaRuns
}

// replicaRuns are the runs on one replica since its last crash.
type replicaRuns struct {
	runs    map[*Run]struct{}
	suspect *Run
	// crashedAt is the time of the last crash, or zero once the replica has answered.
	crashedAt time.Time
}

// Run is one attempt to run a request on a replica.
type Run struct {
	Replica     string
	Fingerprint Fingerprint
	alone       bool
}

// NewActiveRuns returns an empty set.
func NewActiveRuns() *ActiveRuns {
	r := &ActiveRuns{seed: maphash.MakeSeed(), suspects: make(map[Fingerprint]bool)}
	for i := range r.shards {
		r.shards[i].replicas = make(map[string]*replicaRuns)
	}
	return r
}

// Start adds a run. With RunAlone it returns false if the replica runs another
// suspect or the request already runs elsewhere; the caller then tries another
// replica or waits. Each run must be ended by Finish or Crash.
func (r *ActiveRuns) Start(replica string, fp Fingerprint, verdict Verdict) (*Run, bool) {
	run := &Run{Replica: replica, Fingerprint: fp, alone: verdict == RunAlone}
	if run.alone && !r.claim(fp) {
		return nil, false
	}
	s := r.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	on := s.replica(replica)
	if run.alone && on.suspect != nil {
		s.removeIfIdle(replica)
		r.release(fp)
		return nil, false
	}
	if run.alone {
		on.suspect = run
	}
	on.runs[run] = struct{}{}
	return run, true
}

// Finish ends a run that did not crash. Further calls have no effect.
func (r *ActiveRuns) Finish(run *Run) {
	s := r.shard(run.Replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	on, ok := s.replicas[run.Replica]
	if !ok {
		return
	}
	if _, ok := on.runs[run]; !ok {
		return
	}
	r.remove(on, run)
	s.removeIfIdle(run.Replica)
}

// remove removes a run from its replica. The caller holds the shard's lock.
func (r *ActiveRuns) remove(on *replicaRuns, run *Run) {
	delete(on.runs, run)
	if on.suspect == run {
		on.suspect = nil
	}
	if run.alone {
		r.release(run.Fingerprint)
	}
}

// Answered records that the replica sent the first byte of the run's answer.
func (r *ActiveRuns) Answered(run *Run) {
	s := r.shard(run.Replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	if on, ok := s.replicas[run.Replica]; ok {
		on.crashedAt = time.Time{}
	}
}

// Crash ends a run whose connection was lost. It returns the fingerprints of
// all runs on the replica, which it ends as well. It returns none if the crash
// is already known, since each run of a crashed replica reports it, or if the
// replica may still be down from its last crash.
func (r *ActiveRuns) Crash(now time.Time, run *Run) []Fingerprint {
	s := r.shard(run.Replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	on, ok := s.replicas[run.Replica]
	if !ok {
		return nil
	}
	if _, ok := on.runs[run]; !ok {
		return nil
	}
	if !on.crashedAt.IsZero() && now.Sub(on.crashedAt) < restartTime {
		r.remove(on, run)
		return nil
	}
	fingerprints := make([]Fingerprint, 0, len(on.runs))
	for ended := range on.runs {
		fingerprints = append(fingerprints, ended.Fingerprint)
		r.remove(on, ended)
	}
	on.crashedAt = now
	s.removeExpired(now)
	return fingerprints
}

// SuspectOn reports whether a suspect runs on the replica.
func (r *ActiveRuns) SuspectOn(replica string) bool {
	s := r.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	on, ok := s.replicas[replica]
	return ok && on.suspect != nil
}

func (r *ActiveRuns) claim(fp Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects[fp] {
		return false
	}
	r.suspects[fp] = true
	return true
}

func (r *ActiveRuns) release(fp Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, fp)
}

func (r *ActiveRuns) shard(replica string) *runningShard {
	return &r.shards[maphash.String(r.seed, replica)%runningShards]
}

func (s *runningShard) replica(name string) *replicaRuns {
	on, ok := s.replicas[name]
	if !ok {
		on = &replicaRuns{runs: make(map[*Run]struct{})}
		s.replicas[name] = on
	}
	return on
}

// removeIfIdle removes a replica that has no runs and no recent crash.
func (s *runningShard) removeIfIdle(name string) {
	if on := s.replicas[name]; on != nil && len(on.runs) == 0 && on.crashedAt.IsZero() {
		delete(s.replicas, name)
	}
}

// removeExpired removes replicas without runs whose crash is older than
// restartTime.
func (s *runningShard) removeExpired(now time.Time) {
	for name, on := range s.replicas {
		if len(on.runs) == 0 && now.Sub(on.crashedAt) >= restartTime {
			delete(s.replicas, name)
		}
	}
}
