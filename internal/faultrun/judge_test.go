package faultrun

import (
	"errors"
	"testing"
	"time"

	"galenatrestle/internal/load"
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/standin/engine"
	"galenatrestle/internal/standin/runs"
)

const testSeed = 5

var sentAt = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

// chatTry is a try of a chat with the given end.
func chatTry(attempt load.Attempt) *Try {
	stream := &load.Stream{Class: "counter", Model: model}
	offer := &Offer{Request: load.Request{Name: "q", Prompt: "a b", MaxTokens: 3, Stream: stream}}
	attempt.RequestID = "id"
	attempt.Ended = sentAt.Add(time.Second)
	return &Try{Offer: offer, Address: "node", Sent: sentAt, Attempt: attempt}
}

// claimTry is a try of an unrepeatable call.
func claimTry(attempt load.Attempt) *Try {
	t := chatTry(attempt)
	t.Offer.Stream = &load.Stream{Class: "counter", Service: &load.Service{Path: claimsPath}}
	t.Offer.IdempotencyKey = "key"
	return t
}

func testJudge(ends map[string]nodeEnd) *judge {
	return &judge{
		seed:  testSeed,
		truth: &truth{byRequest: map[string]int{}, byKey: map[string]int{}, engines: make([][]runs.Run, 1)},
		endOf: func(address string) (nodeEnd, bool) { end, ok := ends[address]; return end, ok },
		tiers: map[string]int{"counter": 0, "review": 2},
	}
}

// promises lists the broken ones.
func promises(list []Violation) []string {
	var names []string
	for _, v := range list {
		names = append(names, v.Promise)
	}
	return names
}

// expect checks that just the one promise is broken, or none.
func expect(t *testing.T, got []Violation, want string) {
	t.Helper()
	names := promises(got)
	if want == "" && len(names) > 0 || want != "" && (len(names) != 1 || names[0] != want) {
		t.Errorf("broken: %q, want %q", names, want)
	}
}

func TestSingleTries(t *testing.T) {
	whole := engine.ExpectedAnswerSeeded("a b", 3, testSeed)
	killed := map[string]nodeEnd{"node": {at: sentAt, killed: true}}
	stopped := map[string]nodeEnd{"node": {at: sentAt}}
	cut := load.Attempt{Ending: load.EndingAborted, Err: errors.New("reset")}
	cases := []struct {
		name    string
		attempt load.Attempt
		ends    map[string]nodeEnd
		want    string
	}{
		{"own answer", load.Attempt{Ending: load.EndingWhole, Text: whole}, nil, ""},
		{"part as a whole", load.Attempt{Ending: load.EndingWhole, Text: whole[:3]}, nil, promiseWhole},
		{"part before an error", load.Attempt{Ending: load.EndingError, Text: whole[:3]}, nil, ""},
		{"another's part", load.Attempt{Ending: load.EndingError, Text: "x"}, nil, promiseWhole},
		{"clean end of a cut stream", load.Attempt{Ending: load.EndingTruncated, Text: whole}, nil, promiseWhole},
		{"no end", load.Attempt{Ending: load.EndingGaveUp}, nil, promiseTime},
		{"broken by a serving node", cut, nil, promiseWhole},
		{"broken by a killed node", cut, killed, ""},
		{"broken by a planned stop", cut, stopped, promiseStop},
		{"refusal without outcome", load.Attempt{Ending: load.EndingRefused, Status: 503}, nil, promiseNotRun},
		{"shed at the top", load.Attempt{Ending: load.EndingRefused, Outcome: "not-run", Reason: string(refusal.ShedForHigherTier)}, nil, promiseTier},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			expect(t, testJudge(c.ends).tries([]*Try{chatTry(c.attempt)}), c.want)
		})
	}
}

// TestResumedAnswers checks both parts of an answer together.
func TestResumedAnswers(t *testing.T) {
	whole := engine.ExpectedAnswerSeeded("a b", 3, testSeed)
	rest := chatTry(load.Attempt{Ending: load.EndingWhole, Text: whole[2:]})
	rest.Resumed, rest.Before = true, whole[:2]
	expect(t, testJudge(nil).tries([]*Try{rest}), "")
	rest.Before = whole[:1]
	expect(t, testJudge(nil).tries([]*Try{rest}), promiseWhole)
	rest.Offer.Leaves, rest.Text, rest.Ending = true, "", load.EndingGaveUp
	expect(t, testJudge(nil).tries([]*Try{rest}), promiseTime)
}

// TestRelayedAnswers tells a plain service's own 503 from a refusal of ours.
func TestRelayedAnswers(t *testing.T) {
	own := load.Attempt{Ending: load.EndingRefused, Status: 503, NodeAttempts: "1"}
	expect(t, testJudge(nil).tries([]*Try{claimTry(own)}), "")
	expect(t, testJudge(nil).tries([]*Try{chatTry(own)}), promiseNotRun)
	own.NodeAttempts = ""
	expect(t, testJudge(nil).tries([]*Try{claimTry(own)}), promiseNotRun)
}

// TestBrokenWholeAnswer allows a broken connection only once the answer began.
func TestBrokenWholeAnswer(t *testing.T) {
	broken := chatTry(load.Attempt{Ending: load.EndingAborted, Status: 200})
	expect(t, testJudge(nil).tries([]*Try{broken}), promiseWhole)
	broken.Offer.Stream.Whole = true
	expect(t, testJudge(nil).tries([]*Try{broken}), "")
	broken.Status = 0
	expect(t, testJudge(nil).tries([]*Try{broken}), promiseWhole)
}

func TestNotRunIsComparedWithTheTruth(t *testing.T) {
	j := testJudge(nil)
	refused := chatTry(load.Attempt{Ending: load.EndingRefused, Outcome: "not-run", Reason: "queue_full"})
	expect(t, j.tries([]*Try{refused}), "")
	j.truth.byRequest["id"] = 1
	expect(t, j.tries([]*Try{refused}), promiseNotRun)
}

func TestKeys(t *testing.T) {
	first := claimTry(load.Attempt{Ending: load.EndingWhole, Text: "run 1"})
	again := claimTry(load.Attempt{Ending: load.EndingWhole, Text: "run 1"})
	other := claimTry(load.Attempt{Ending: load.EndingWhole, Text: "run 2"})
	cases := []struct {
		name     string
		tries    []*Try
		ran      int
		restored time.Time
		want     string
	}{
		{"once", []*Try{first, again}, 1, time.Time{}, ""},
		{"twice", []*Try{first, again}, 2, time.Time{}, promiseOnce},
		{"twice after the platform forgot", []*Try{first, again}, 2, sentAt.Add(1), ""},
		{"twice long after it forgot", []*Try{first, again}, 2, sentAt.Add(-1), promiseOnce},
		{"two answers", []*Try{first, other}, 1, time.Time{}, promiseOnce},
		{"nothing ran", []*Try{first}, 0, time.Time{}, promiseWhole},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := testJudge(nil)
			j.truth.byKey["key"] = c.ran
			j.restored = c.restored
			expect(t, j.keys(c.tries), c.want)
		})
	}
}

func TestClassWithoutAnswers(t *testing.T) {
	refused := chatTry(load.Attempt{Ending: load.EndingRefused})
	tries := make([]*Try, minOffered)
	for i := range tries {
		tries[i] = refused
	}
	expect(t, testJudge(nil).classes(tries), promiseServed)
	whole := engine.ExpectedAnswerSeeded("a b", 3, testSeed)
	expect(t, testJudge(nil).classes(append(tries, chatTry(load.Attempt{Ending: load.EndingWhole, Text: whole}))), "")
}

func TestWorkOfALeavingEngine(t *testing.T) {
	known := span{from: sentAt, to: sentAt.Add(3 * onTheWay)}
	for after, want := range map[time.Duration]string{
		onTheWay: "", onTheWay + 1: promiseLeaving, 3 * onTheWay: "",
	} {
		j := testJudge(nil)
		j.truth.engines[0] = []runs.Run{{Started: sentAt.Add(after)}}
		expect(t, j.leaving([]span{known}), want)
	}
}

func TestLeavingNobodyHeardOf(t *testing.T) {
	listed := Event{Kind: ListedLeaving, Target: 2}
	cases := []struct {
		name   string
		events []Event
		known  map[int]int
		want   string
	}{
		{"known", []Event{listed}, map[int]int{2: 1}, ""},
		{"never known", []Event{listed, {Kind: EngineCrash}}, map[int]int{1: 1}, promiseLeaving},
		{"the platform was down", []Event{{Kind: PlatformDown}, listed}, nil, ""},
		{"an engine said it itself", []Event{{Kind: EngineLeaving}, listed}, nil, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) { expect(t, unheard(c.events, c.known), c.want) })
	}
}
