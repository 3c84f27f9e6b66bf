package clairvoyant

import (
	"slices"
	"testing"
	"time"
)

const second = time.Second

// job takes a second of service a token, its first token after one.
func job(class int, arrives time.Duration, tokens int, answerBy time.Duration) Job {
	return Job{
		Class: class, Tier: class, Arrives: arrives, Tokens: tokens,
		First: second, Service: time.Duration(tokens) * second, AnswerBy: answerBy,
	}
}

func TestRun(t *testing.T) {
	firstBy := job(0, 0, 2, 10*second)
	firstBy.FirstBy = second
	gone := job(0, 0, 2, 9*second)
	gone.GiveUpAt = 3 * second
	tests := []struct {
		name     string
		slots    int
		jobs     []Job
		onTarget []int
		tokens   int
		end      time.Duration
	}{
		{"nothing", 1, nil, []int{0, 0}, 0, 0},
		{"an idle slot waits for the arrival", 1, []Job{job(0, 5*second, 2, 7*second)}, []int{1, 0}, 2, 7 * second},
		{"tiers go first", 1, []Job{job(1, 0, 2, 2*second), job(0, 0, 2, 2*second)}, []int{1, 0}, 2, 4 * second},
		{"nothing that runs is stopped", 1, []Job{job(1, 0, 4, 4*second), job(0, second, 2, 4*second)}, []int{0, 1}, 4, 6 * second},
		{"least slack first", 1, []Job{job(0, 0, 2, 9*second), job(0, 0, 2, 2*second)}, []int{2, 0}, 4, 4 * second},
		{"late ones behind those on target", 1, []Job{job(0, 0, 4, 3*second), job(0, 0, 2, 2*second)}, []int{1, 0}, 2, 6 * second},
		{"slots run side by side", 2, []Job{job(0, 0, 2, 2*second), job(0, 0, 2, 2*second)}, []int{2, 0}, 4, 2 * second},
		{"the first token has a target too", 1, []Job{job(0, 0, 3, 4*second), firstBy}, []int{1, 0}, 2, 5 * second},
		{"callers gone are not served", 1, []Job{job(0, 0, 2, 2*second), gone}, []int{1, 0}, 2, 2 * second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			o := Run(test.slots, 2, test.jobs)
			if !slices.Equal(o.OnTarget, test.onTarget) || o.Tokens != test.tokens || o.End != test.end {
				t.Errorf("got %+v, want on target %v, %d tokens, end %v", o, test.onTarget, test.tokens, test.end)
			}
		})
	}
}
