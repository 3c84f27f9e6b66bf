package quarantine

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	scheduleReplicas = 6
	scheduleSlots    = 8
	scheduleStep     = 100 * time.Millisecond
	scheduleLength   = 60 * time.Second
	downTime         = 2 * time.Second
	longestRun       = 2 * time.Second
	// maxCrashes bounds the crashes by one poison request: the first two, and one
	// after each of the quarantines of 10 and 20 s, which end within the schedule.
	maxCrashes = 4
	// maxDelay bounds the delay of an innocent request beyond the time it is refused.
	maxDelay = 10 * time.Second
)

// job is a request in the schedule.
type job struct {
	fp        Fingerprint
	poison    bool
	run       *Run
	endsAt    time.Time
	arrivedAt time.Time
	refused   time.Duration
}

// schedule simulates a node that uses the tracker.
type schedule struct {
	random  *rand.Rand
	tracker *Tracker
	running *ActiveRuns
	now     time.Time
	upAt    [scheduleReplicas]time.Time
	waiting []*job
	started []*job
	next    Fingerprint
	crashes map[Fingerprint]int
	// refused and delayed are the maxima over the innocent requests.
	refused, delayed time.Duration
	finished         int
}

func replicaName(i int) string { return string(rune('a' + i)) }

func (s *schedule) run(poisons int, arrivals float64) {
	for i := range poisons {
		s.waiting = append(s.waiting, &job{fp: Fingerprint(1000 + i), poison: true, arrivedAt: s.now})
	}
	for end := s.now.Add(scheduleLength); s.now.Before(end); s.now = s.now.Add(scheduleStep) {
		for s.random.Float64() < arrivals {
			s.next++
			s.waiting = append(s.waiting, &job{fp: 10000 + s.next, arrivedAt: s.now})
			if s.next%8 == 0 {
				break
			}
		}
		s.end()
		s.start()
	}
}

// start places each waiting job on a replica if it may run.
func (s *schedule) start() {
	waiting := s.waiting
	s.waiting = nil
	for _, j := range waiting {
		if s.place(j) {
			s.started = append(s.started, j)
			continue
		}
		s.waiting = append(s.waiting, j)
	}
}

func (s *schedule) place(j *job) bool {
	verdict, _ := s.tracker.Decide(s.now, j.fp)
	if verdict == Refuse {
		j.refused += scheduleStep
		return false
	}
	for _, i := range s.random.Perm(scheduleReplicas) {
		if s.now.Before(s.upAt[i]) || s.load(i) >= scheduleSlots {
			continue
		}
		run, ok := s.running.Start(s.now, replicaName(i), j.fp, verdict)
		if !ok {
			continue
		}
		// The replica is up, so it answers at once.
		s.running.Answered(run)
		j.run = run
		j.endsAt = s.now.Add(time.Duration(s.random.Int64N(int64(longestRun))))
		return true
	}
	return false
}

func (s *schedule) load(replica int) (n int) {
	for _, j := range s.started {
		if j.run.Replica == replicaName(replica) {
			n++
		}
	}
	return n
}

// end handles the jobs that are due: poison jobs crash their replicas, innocent
// ones finish.
func (s *schedule) end() {
	for _, j := range s.started {
		if j.poison && !j.endsAt.After(s.now) {
			s.crash(j)
		}
	}
	var left []*job
	for _, j := range s.started {
		switch {
		case j.run == nil:
			s.waiting = append(s.waiting, j)
		case j.endsAt.After(s.now):
			left = append(left, j)
		default:
			s.finish(j)
		}
	}
	s.started = left
}

func (s *schedule) crash(cause *job) {
	if cause.run == nil {
		return
	}
	s.crashes[cause.fp]++
	replica := cause.run.Replica
	s.upAt[replica[0]-'a'] = s.now.Add(downTime)
	s.tracker.CrashOf(s.now, replica, s.running.Crash(s.now, cause.run))
	for _, j := range s.started {
		if j.run != nil && j.run.Replica == replica {
			j.run = nil
		}
	}
}

func (s *schedule) finish(j *job) {
	s.running.Finish(j.run)
	s.tracker.Finished(s.now, j.fp)
	s.finished++
	s.refused = max(s.refused, j.refused)
	s.delayed = max(s.delayed, s.now.Sub(j.arrivedAt))
}

// Runs random schedules of poison requests that are sent again and again, among
// innocent ones that are retried after each crash: the crashes by each poison
// request and the delay of the innocent ones are bounded.
func TestPoisonAmongInnocents(t *testing.T) {
	var worstRefused, worstDelayed time.Duration
	worstCrashes, finished := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		poisons := rapid.IntRange(1, 3).Draw(t, "poisons")
		arrivals := rapid.Float64Range(0.1, 0.7).Draw(t, "arrivals")
		s := &schedule{
			random:  rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0)),
			tracker: NewTracker("", 0), running: NewActiveRuns(), now: start,
			crashes: make(map[Fingerprint]int),
		}
		s.run(poisons, arrivals)
		for fp, n := range s.crashes {
			worstCrashes = max(worstCrashes, n)
			if n > maxCrashes+poisons-1 {
				t.Fatalf("poison %d crashed %d replicas", fp, n)
			}
		}
		// With one poison request no innocent one is ever refused. Each further poison
		// request can cause at maxRefused one quarantine of an innocent one, each time longer.
		maxRefused := quarantines[0] * time.Duration(1<<(poisons-1)-1)
		if s.refused > maxRefused || s.delayed > maxRefused+maxDelay {
			t.Fatalf("%d poisons: an innocent was refused for %v (at most %v), delayed for %v",
				poisons, s.refused, maxRefused, s.delayed)
		}
		if s.finished == 0 {
			t.Fatal("no innocent request finished")
		}
		worstRefused = max(worstRefused, s.refused)
		worstDelayed = max(worstDelayed, s.delayed)
		finished += s.finished
	})
	t.Logf("%d innocents finished; worst: crashes of a poison %d, innocent refused %v, delayed %v",
		finished, worstCrashes, worstRefused, worstDelayed)
}
