package soak

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"galenatrestle/platform/platformtest"
)

const (
	// mixedAllowance is the number of streams that may have events of two software versions.
	mixedAllowance = 2
	// From minResumes tries on, the share of the streams that go on may not be less than
	// leastResumed of the share of new streams that begin.
	minResumes   = 12
	leastResumed = 0.5
	// resumeStable is the time without a disturbance of a node from which its calls count.
	resumeStable = 3 * time.Second
	// minServing is the number of replicas of the stream's version that must serve.
	minServing = 2
)

// isComplete reports whether the answer has nothing but complete events.
func (s *sent) isComplete() bool {
	_, rest := platformtest.ParseEvents(s.body)
	return rest == ""
}

// judgeStreams checks the streams over all tries of their callers.
func (w *world) judgeStreams(calls []*sent) {
	tries := make(map[string][]*sent)
	var names []string
	for _, s := range calls {
		if s.stream == "" {
			continue
		}
		if tries[s.stream] == nil {
			names = append(names, s.stream)
		}
		tries[s.stream] = append(tries[s.stream], s)
	}
	var mixed []string
	for _, name := range names {
		w.judgeOrder(tries[name])
		if versions := versionsOf(tries[name]); len(versions) > 1 {
			mixed = append(mixed, fmt.Sprintf("%s in %d tries: %s", name, len(tries[name]), strings.Join(versions, ", ")))
		}
	}
	if len(mixed) > mixedAllowance {
		w.violate("%d streams have events of several software versions, first %s; allowed %d", len(mixed), mixed[0], mixedAllowance)
	}
	w.judgeResumed(tries)
}

// judgeOrder checks that no event is missing, doubled or another stream's.
func (w *world) judgeOrder(tries []*sent) {
	for _, s := range tries {
		for i, e := range s.events {
			if n := s.after + i + 1; e.ID != n || e.Data != platformtest.EventData(s.stream, n) {
				w.violate("%s got event %d %q in the place of event %d of %s", s.id, e.ID, e.Data, n, s.stream)
				return
			}
		}
	}
}

// versionsOf returns the versions of the events of all tries, without repetition.
func versionsOf(tries []*sent) []string {
	var versions []string
	for _, s := range tries {
		for _, e := range s.events {
			if !slices.Contains(versions, e.Version) {
				versions = append(versions, e.Version)
			}
		}
	}
	return versions
}

// judgeResumed checks that streams which callers resume at undisturbed nodes, while replicas of their
// version serve, go on about as often as new streams begin at the time.
func (w *world) judgeResumed(tries map[string][]*sent) {
	var began, wentOn tally
	var newStreams []*sent
	resumedAt := make(map[int64]bool)
	for _, list := range tries {
		resumed, goesOn := false, false
		for _, s := range list {
			switch {
			case !w.isOwed(s) || w.disturbedBetween(s.entry, s.at.Add(-resumeStable), s.endedAt):
			case s.resumes == "":
				newStreams = append(newStreams, s)
			case w.serving(versionsOf(list)[0], s.at, s.endedAt) >= minServing:
				resumed, goesOn = true, goesOn || len(s.events) > 0 || s.whole()
				resumedAt[s.at.Unix()] = true
			}
		}
		if resumed {
			wentOn.count(goesOn)
		}
	}
	for _, s := range newStreams {
		if resumedAt[s.at.Unix()] {
			began.count(len(s.events) > 0)
		}
	}
	w.resumed = wentOn
	// Compared without division, so that no new streams need no case of their own.
	if wentOn.asked >= minResumes && float64(wentOn.served*began.asked) < leastResumed*float64(began.served*wentOn.asked) {
		w.violate("%d of %d streams that callers resumed went on, while %d of %d new ones began", wentOn.served, wentOn.asked, began.served, began.asked)
	}
}

// serving counts the sound models of the version, empty: of all versions. None is sound while all are brittle.
func (w *world) serving(version string, from, until time.Time) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, t := range w.brittleTimes {
		if t.service == modelService && t.from.Before(until) && t.until.After(from) {
			return 0
		}
	}
	count := 0
	for _, r := range slices.Concat(w.replicas, w.ended) {
		if r.service == modelService && (version == "" || r.version == version) && r.isSoundBetween(from, until) {
			count++
		}
	}
	return count
}
