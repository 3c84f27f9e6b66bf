package quarantine

import (
	"hash/maphash"
	"sync"
)

const runningShards = 16

// Running knows which requests of this node run on which replica. Its size is
// bounded by the requests in flight. It is safe for concurrent use.
type Running struct {
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
}

// Run is one attempt on a replica.
type Run struct {
	Replica     string
	Fingerprint Fingerprint
	alone       bool
}

// NewRunning returns an empty set.
func NewRunning() *Running {
	r := &Running{seed: maphash.MakeSeed(), suspects: make(map[Fingerprint]bool)}
	for i := range r.shards {
		r.shards[i].replicas = make(map[string]*replicaRuns)
	}
	return r
}

// Start adds a run. For a RunAlone verdict it fails where the replica runs
// another suspect or the request itself runs elsewhere: the caller then takes
// another replica or waits. Each run must be ended by Finish or Crash.
func (r *Running) Start(replica string, fp Fingerprint, verdict Verdict) (*Run, bool) {
	run := &Run{Replica: replica, Fingerprint: fp, alone: verdict == RunAlone}
	if run.alone && !r.claim(fp) {
		return nil, false
	}
	s := r.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	on := s.replica(replica)
	if run.alone && on.suspect != nil {
		s.tidy(replica)
		r.release(fp)
		return nil, false
	}
	if run.alone {
		on.suspect = run
	}
	on.runs[run] = struct{}{}
	return run, true
}

// Finish ends a run that did not crash. Ending it again does nothing.
func (r *Running) Finish(run *Run) {
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
	delete(on.runs, run)
	if on.suspect == run {
		on.suspect = nil
	}
	s.tidy(run.Replica)
	if run.alone {
		r.release(run.Fingerprint)
	}
}

// Crash ends all runs on the run's replica and returns their fingerprints, or
// none where the crash is known already: each run of a crashed replica reports
// it, the first is taken.
func (r *Running) Crash(run *Run) []Fingerprint {
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
	delete(s.replicas, run.Replica)
	fingerprints := make([]Fingerprint, 0, len(on.runs))
	for ended := range on.runs {
		fingerprints = append(fingerprints, ended.Fingerprint)
		if ended.alone {
			r.release(ended.Fingerprint)
		}
	}
	return fingerprints
}

// SuspectOn says whether a suspect runs on the replica.
func (r *Running) SuspectOn(replica string) bool {
	s := r.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	on, ok := s.replicas[replica]
	return ok && on.suspect != nil
}

func (r *Running) claim(fp Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects[fp] {
		return false
	}
	r.suspects[fp] = true
	return true
}

func (r *Running) release(fp Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, fp)
}

func (r *Running) shard(replica string) *runningShard {
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

// tidy forgets a replica without runs.
func (s *runningShard) tidy(name string) {
	if on := s.replicas[name]; on != nil && len(on.runs) == 0 {
		delete(s.replicas, name)
	}
}
