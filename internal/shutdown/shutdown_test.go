package shutdown

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

func TestNeedOfACall(t *testing.T) {
	for name, test := range map[string]struct{ left, objective, longest, want time.Duration }{
		"nothing known":                 {2 * time.Second, 0, 0, 2 * time.Second},
		"only the objective known":      {5 * time.Second, time.Second, 0, time.Second + answerMargin},
		"objective beyond the deadline": {2 * time.Second, 3 * time.Second, 0, 2 * time.Second},
		"quick answers":                 {2 * time.Second, time.Second, 30 * time.Millisecond, 60*time.Millisecond + answerMargin},
		"answers slower than objective": {2 * time.Second, 100 * time.Millisecond, 500 * time.Millisecond, time.Second + answerMargin},
		"answers as long as the time":   {2 * time.Second, time.Second, 1900 * time.Millisecond, 2 * time.Second},
		"a caller with little patience": {50 * time.Millisecond, time.Second, 30 * time.Millisecond, 50 * time.Millisecond},
	} {
		if got := Need(test.left, test.objective, test.longest); got != test.want {
			t.Errorf("%s: %s, want %s", name, got, test.want)
		}
	}
}

// The longest answer of the last 45 s is always known, and none older than 60 s.
func TestLongestAnswerIsThatOfTheLastMinute(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, now := NewAnswerTimes(), time.Unix(1e9, 0)
		type answer struct {
			at   time.Time
			took time.Duration
		}
		answers := make(map[string][]answer)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.Int64Range(0, int64(40*time.Second)).Draw(t, "pause")))
			upstream := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "upstream")
			took := time.Duration(rapid.Int64Range(1, int64(time.Second)).Draw(t, "took"))
			table.Observe(upstream, took, now)
			answers[upstream] = append(answers[upstream], answer{now, took})
			for upstream, list := range answers {
				var atLeast, atMost time.Duration
				for _, a := range list {
					if age := now.Sub(a.at); age < (periods-1)*periodLength {
						atLeast = max(atLeast, a.took)
					}
					if now.Sub(a.at) < periods*periodLength {
						atMost = max(atMost, a.took)
					}
				}
				got, known := table.Longest(upstream, now)
				if got < atLeast || got > atMost || known != (got > 0) {
					t.Fatalf("upstream %s: %s (known: %v), want %s to %s", upstream, got, known, atLeast, atMost)
				}
			}
		}
	})
}

func TestUpstreamsWithoutRecentAnswersAreForgotten(t *testing.T) {
	table, now := NewAnswerTimes(), time.Unix(1e9, 0)
	for i := range 1000 {
		table.Observe(string(rune('a'+i)), time.Millisecond, now)
		now = now.Add(time.Second)
	}
	kept := 0
	for i := range table.shards {
		kept += len(table.shards[i].upstreams)
	}
	if kept > 250 {
		t.Errorf("%d upstreams are kept", kept)
	}
}

func BenchmarkObserve(b *testing.B) {
	table, now := NewAnswerTimes(), time.Unix(1e9, 0)
	b.ReportAllocs()
	for b.Loop() {
		table.Observe("ledger", time.Millisecond, now)
	}
}
