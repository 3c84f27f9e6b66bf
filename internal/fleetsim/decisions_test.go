package fleetsim

import (
	"testing"
	"time"
)

// Where shared parts are copied from the replica that has read them, a request whose
// replica is busy goes to another one without the parts being read twice.
func TestSharedPartsAreReadOnceWhereTheyCanBeCopied(t *testing.T) {
	t.Parallel()
	copied := play(t, coldBurst, nil)
	read := play(t, coldBurst, func(s *Scenario) { s.Copies = false })
	if copied.ReadAgain > read.ReadAgain/2 {
		t.Errorf("%d thousand tokens are read again with copies, %d without", copied.ReadAgain, read.ReadAgain)
	}
	if copied.OnTimeShare() < read.OnTimeShare()+0.01 {
		t.Errorf("%.3f are on time with copies, %.3f without", copied.OnTimeShare(), read.OnTimeShare())
	}
}

// tooMuch is a burst of more than the engines can read.
func tooMuch(seed uint64) Scenario {
	s := coldBurst(seed)
	s.Bursts[0].Times = 4.5
	return s
}

// Where more comes than can be read, refusing some at once leaves more on time than
// letting all wait, and also more in absolute numbers.
func TestRefusingWhatComesTooMuchLeavesMoreOnTime(t *testing.T) {
	t.Parallel()
	gated := play(t, tooMuch, nil)
	all := play(t, tooMuch, func(s *Scenario) { s.Ungated = true })
	if gated.OnTimeShare() < all.OnTimeShare()+0.1 {
		t.Errorf("%.3f are on time with refusals, %.3f without", gated.OnTimeShare(), all.OnTimeShare())
	}
}

// The classes of more urgent ranks have shorter objectives; they must not be refused
// for what less urgent ones have queued up.
func TestTheMoreUrgentClassIsNotRefusedForTheLessUrgentOne(t *testing.T) {
	t.Parallel()
	r := play(t, tooMuch, nil)
	refused := func(class string) float64 {
		return float64(r.Classes[class].Refused) / float64(r.Classes[class].Asked)
	}
	if refused(question) > 0.01 || refused(letter) > 0.02 {
		t.Errorf("refused: %.3f of the questions, %.3f of the letters", refused(question), refused(letter))
	}
	if refused(history) < 0.05 {
		t.Errorf("%.3f of the histories are refused: the load is no test", refused(history))
	}
}

// A fleet of slow engines, with the same capacity in all, is decided on by the speed
// that it shows: taken for quick ones, its queues grow too long before any is refused.
func TestDecisionsFollowTheSpeedOfTheEngines(t *testing.T) {
	t.Parallel()
	for name, test := range map[string]struct {
		speed   float64
		engines int
		burst   float64
		least   float64
	}{
		"half the speed, twice as many": {0.5, 18, 2.6, 0.725},
		"a quarter, four times as many": {0.25, 36, 2.6, 0.44},
		"a quarter, in an overload":     {0.25, 36, 4.5, 0.30},
		"three times the speed":         {3, 3, 2.6, 0.90},
	} {
		t.Run(name, func(t *testing.T) {
			r := play(t, coldBurst, func(s *Scenario) {
				s.Model, s.Engines, s.Bursts[0].Times = s.Model.of(test.speed), test.engines, test.burst
			})
			if r.OnTimeShare() < test.least {
				t.Errorf("%.3f are on time, want %.2f", r.OnTimeShare(), test.least)
			}
		})
	}
}

// smallEngine runs sixteen requests at once and tells ten tokens in an event.
var smallEngine = EngineModel{
	TokensPerMS: 52, Chunk: 2048, StepMS: 4.7, PerRequestMS: 0.03, Slots: 16, MemoryTokens: 250_000, TokensPerEvent: 10,
}

// fullPlaces is a burst of short prompts with long answers on engines that run few
// requests at once: their places are taken long before there is much to read.
func fullPlaces(seed uint64) Scenario {
	s := coldBurst(seed)
	s.Model, s.Engines, s.Nodes, s.Length = smallEngine, 13, 18, 32*time.Second
	s.Classes = []Class{
		{Name: letter, Rank: 1, PerSecond: 28, Objective: 600 * time.Millisecond, MaxPause: 500 * time.Millisecond, Patience: 5 * time.Second,
			OwnTokens: 2900, AnswerTokens: 50, Spread: 0.9, Sessions: 80, SharedTokens: 6300},
		{Name: question, Rank: 0, PerSecond: 19, Objective: 300 * time.Millisecond, MaxPause: 300 * time.Millisecond, Patience: 15 * time.Second,
			OwnTokens: 630, AnswerTokens: 290, Spread: 0.7, Sessions: 150, SharedTokens: 200},
	}
	s.Bursts = []Burst{{question, 6 * time.Second, 15 * time.Second, 3.5}}
	return s
}

// A request beyond a replica's places waits for an answer of seconds to end. Decisions
// that know of the places spread such a burst before that.
func TestRequestsGoWhereThereIsAPlace(t *testing.T) {
	t.Parallel()
	known := play(t, fullPlaces, nil)
	unknown := play(t, fullPlaces, func(s *Scenario) { s.PlacesUntold = true })
	if got, without := known.Classes[question].OnTimeShare(), unknown.Classes[question].OnTimeShare(); got < without+0.05 {
		t.Errorf("%.3f of the questions are on time, %.3f without the places", got, without)
	}
	if known.OnTimeShare() < unknown.OnTimeShare()+0.02 {
		t.Errorf("%.3f of all are on time, %.3f without the places", known.OnTimeShare(), unknown.OnTimeShare())
	}
}

// A crash takes caches along: the sessions of the lost engines are read once more at
// others, and the rest of the fleet stays on time.
func TestACrashUnderLoadCostsLittleBeyondWhatRanThere(t *testing.T) {
	t.Parallel()
	r := play(t, coldBurst, func(s *Scenario) {
		s.Bursts = nil
		s.Length = 26 * time.Second
		s.Crashes = []Crash{{At: 8 * time.Second, For: 3 * time.Second, Engines: 2}}
	})
	if r.OnTimeShare() < 0.93 {
		t.Errorf("%.3f are on time", r.OnTimeShare())
	}
}
