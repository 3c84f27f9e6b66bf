package faultrun

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"galenatrestle/internal/load"
)

// clockFormat is how times of day are told.
const clockFormat = "15:04:05.000"

// Result is what one seed's run showed.
type Result struct {
	Schedule   Schedule
	Tries      []*Try
	Violations []Violation
	// LeavingSpans counts the times, long enough to be checked, in which all
	// nodes knew that an engine was leaving.
	LeavingSpans int
	// Open and Dropped count runs of which the stand-ins' lists can't tell all.
	Open, Dropped int64
	Began         time.Time
	Took          time.Duration
}

// Print writes a line, and for violations the schedule and the stories.
func (r *Result) Print(w io.Writer) {
	verdict := "ok"
	if len(r.Violations) > 0 {
		verdict = fmt.Sprintf("%d VIOLATIONS", len(r.Violations))
	}
	fmt.Fprintf(w, "seed %d: %s, %.1fs, %d events, %s, leaving checked %d, open %d, not listed %d\n", r.Schedule.Seed, verdict,
		r.Took.Seconds(), len(r.Schedule.Events), r.endings(), r.LeavingSpans, r.Open, r.Dropped)
	if len(r.Violations) == 0 {
		return
	}
	fmt.Fprintf(w, "  began %s\n", r.Began.UTC().Format(clockFormat))
	fmt.Fprintf(w, "  poison prompt %t, credits %t\n", r.Schedule.Poison, r.Schedule.ShareSlots)
	for _, event := range r.Schedule.Events {
		fmt.Fprintf(w, "  event %s\n", event)
	}
	for _, v := range r.Violations {
		v.print(w)
	}
}

// endings counts the tries by how they ended.
func (r *Result) endings() string {
	counts := make(map[string]int)
	for _, t := range r.Tries {
		label := string(t.Ending)
		if t.Ending == load.EndingRefused {
			label = t.Reason
		}
		if label == "" && t.relayed() {
			label = "service-503"
		}
		if t.Resumed {
			label = "resumed:" + label
		}
		counts[label]++
	}
	parts := []string{fmt.Sprintf("%d offers, %d tries:", len(r.Schedule.Offers), len(r.Tries))}
	for _, label := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", label, counts[label]))
	}
	return strings.Join(parts, " ")
}

func (v Violation) print(w io.Writer) {
	fmt.Fprintf(w, "  violation: %s: %s\n", v.Promise, v.Detail)
	if t := v.Try; t != nil {
		fmt.Fprintf(w, "    %s class %s to %s at %s for %v, id %s, status %d, %s %s %s attempts %s, %d bytes, error %v\n",
			t.Offer.Name, t.Offer.Stream.Class, t.Address, t.Sent.UTC().Format(clockFormat), t.Ended.Sub(t.Sent),
			t.RequestID, t.Status, t.Ending, t.Outcome, t.Reason, t.NodeAttempts, len(t.Text), t.Err)
	}
	for _, line := range v.Story {
		fmt.Fprintf(w, "    %s\n", line)
	}
}
