package quarantine

import (
	"fmt"
	"hash/maphash"
	"sync"
	"time"
)

const (
	runningShards = 16
	// restartTime is how long a replica that has not answered since its crash
	// counts as still down: lost connections to it are not counted as another
	// crash.
	restartTime = 10 * time.Second
)

// ActiveRuns tracks which requests of this node run on which replica. Its size is
// bounded by the requests in flight and the replicas that crashed in the last
// restartTime. It is safe for concurrent use.
type ActiveRuns struct {
	seed   maphash.Seed
	shards [runningShards]runningShard

	// mu guards suspects, the fingerprints of the suspects that run.
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

// PromptPart is the ID of a part that prompts share.
type PromptPart uint64

// String returns the form used in logs.
func (p PromptPart) String() string { return fmt.Sprintf("%x", uint64(p)) }

// Run is one attempt to run a request on a replica.
type Run struct {
	Replica     string
	Fingerprint Fingerprint
	// Parts are the parts of the request's prompt that other requests may share.
	Parts     []PromptPart
	startedAt time.Time
	alone     bool
	// answering is set once the replica has sent a part of the answer, sound once it is clear that the
	// request does not crash it.
	answering, sound bool
}

// StartedAt returns when the run was started.
func (r *Run) StartedAt() time.Time { return r.startedAt }

// EndedRun is a run that a crash of its replica ended.
type EndedRun struct {
	Fingerprint Fingerprint
	Parts       []PromptPart
	// Lasted is the time from its start until the connection was lost.
	Lasted time.Duration
	// Answering is whether the replica had sent a part of the answer, Sound whether it was clear that the
	// request does not crash it.
	Answering, Sound bool
}

// NewActiveRuns returns an empty set.
func NewActiveRuns() *ActiveRuns {
	r := &ActiveRuns{seed: maphash.MakeSeed(), suspects: make(map[Fingerprint]bool)}
	for i := range r.shards {
		r.shards[i].replicas = make(map[string]*replicaRuns)
	}
	return r
}

// Start adds a run. With RunAlone and Trial it returns false if the replica runs another
// suspect or the request already runs elsewhere; the caller then tries another
// replica or waits. Each run must be ended by Finish or Crash.
func (r *ActiveRuns) Start(now time.Time, replica string, fp Fingerprint, verdict Verdict, parts ...PromptPart) (*Run, bool) {
	run := &Run{Replica: replica, Fingerprint: fp, Parts: parts, startedAt: now, alone: verdict == RunAlone || verdict == Trial}
	if run.alone && !r.Claim(fp) {
		return nil, false
	}
	s := r.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	state := s.replica(replica)
	if run.alone && state.suspect != nil {
		s.removeIfIdle(replica)
		r.Release(fp)
		return nil, false
	}
	if run.alone {
		state.suspect = run
	}
	state.runs[run] = struct{}{}
	return run, true
}

// Finish ends a run that did not crash. Further calls have no effect.
func (r *ActiveRuns) Finish(run *Run) {
	s := r.shard(run.Replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.replicas[run.Replica]
	if !ok {
		return
	}
	if _, ok := state.runs[run]; !ok {
		return
	}
	r.remove(state, run)
	s.removeIfIdle(run.Replica)
}

// remove removes a run from its replica. The caller holds the shard's lock.
func (r *ActiveRuns) remove(state *replicaRuns, run *Run) {
	delete(state.runs, run)
	if state.suspect == run {
		state.suspect = nil
	}
	if run.alone {
		r.Release(run.Fingerprint)
	}
}

// Answered records that the replica has sent a part of the run's answer.
func (r *ActiveRuns) Answered(run *Run) {
	s := r.shard(run.Replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	run.answering = true
	if state, ok := s.replicas[run.Replica]; ok {
		state.crashedAt = time.Time{}
	}
}

// Sound records that the run's request does not crash the replica.
func (r *ActiveRuns) Sound(run *Run) {
	s := r.shard(run.Replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	run.sound = true
}

// Crash ends a run whose connection was lost at the time. It returns all runs on
// the replica, which it ends as well. It returns none if the crash is already
// known, since each run of a crashed replica reports it, or if the replica may
// still be down from its last crash.
func (r *ActiveRuns) Crash(now time.Time, run *Run) []EndedRun {
	s := r.shard(run.Replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.replicas[run.Replica]
	if !ok {
		return nil
	}
	if _, ok := state.runs[run]; !ok {
		return nil
	}
	if !state.crashedAt.IsZero() && now.Sub(state.crashedAt) < restartTime {
		r.remove(state, run)
		return nil
	}
	ended := make([]EndedRun, 0, len(state.runs))
	for other := range state.runs {
		ended = append(ended, EndedRun{Fingerprint: other.Fingerprint, Parts: other.Parts, Lasted: now.Sub(other.startedAt), Answering: other.answering, Sound: other.sound})
		r.remove(state, other)
	}
	state.crashedAt = now
	s.removeExpired(now)
	return ended
}

// SuspectOn reports whether a suspect runs on the replica.
func (r *ActiveRuns) SuspectOn(replica string) bool {
	s := r.shard(replica)
	s.mu.Lock()
	defer s.mu.Unlock()
	state, ok := s.replicas[replica]
	return ok && state.suspect != nil
}

// Claim reports whether no other run of the request is alone on this node, and reserves it
// until Release. Start claims by itself.
func (r *ActiveRuns) Claim(fp Fingerprint) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.suspects[fp] {
		return false
	}
	r.suspects[fp] = true
	return true
}

// Release ends the reservation by Claim.
func (r *ActiveRuns) Release(fp Fingerprint) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.suspects, fp)
}

func (r *ActiveRuns) shard(replica string) *runningShard {
	return &r.shards[maphash.String(r.seed, replica)%runningShards]
}

func (s *runningShard) replica(name string) *replicaRuns {
	state, ok := s.replicas[name]
	if !ok {
		state = &replicaRuns{runs: make(map[*Run]struct{})}
		s.replicas[name] = state
	}
	return state
}

// removeIfIdle removes a replica that has no runs and no crash since its last
// answer.
func (s *runningShard) removeIfIdle(name string) {
	if state := s.replicas[name]; state != nil && len(state.runs) == 0 && state.crashedAt.IsZero() {
		delete(s.replicas, name)
	}
}

// removeExpired removes replicas without runs whose crash is older than
// restartTime.
func (s *runningShard) removeExpired(now time.Time) {
	for name, state := range s.replicas {
		if len(state.runs) == 0 && now.Sub(state.crashedAt) >= restartTime {
			delete(s.replicas, name)
		}
	}
}
