package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"galenatrestle/internal/replica"
	"galenatrestle/internal/replicaspeed"
)

func newSpeedFleet(n int, seed uint64) (*Placer, *replica.Set) {
	p, set := newFleet(n, seed)
	p.SetReplicaSpeeds(&ReplicaSpeeds{HalfLife: replicaspeed.DefaultHalfLife})
	return p, set
}

// serve has the replicas answer plain requests one after the other for a while; the replica slow
// takes five times as long. It returns how many requests each replica got.
func serve(p *Placer, now time.Time, d time.Duration, slow string) (map[string]int, time.Time) {
	counts := make(map[string]int)
	for end := now.Add(d); now.Before(end); now = now.Add(20 * time.Millisecond) {
		a := p.Choose(now, "u", &Request{Class: "plain"})
		took := 30 * time.Millisecond
		if a.Replica.ID == slow {
			took *= 5
		}
		a.End(now.Add(took), Answered)
		counts[a.Replica.ID]++
	}
	return counts, now
}

func TestSlowReplicaOfAPlainServiceLosesItsWork(t *testing.T) {
	p, _ := newSpeedFleet(3, 1)
	_, now := serve(p, start, 4*time.Second, "")
	_, now = serve(p, now, time.Second, "i-02")
	counts, now := serve(p, now, 4*time.Second, "i-02")
	if counts["i-02"] > 7 {
		t.Errorf("the slow replica got %d of 200 requests", counts["i-02"])
	}
	serve(p, now, 8*time.Second, "")
	if factor := p.upstream("u").states["i-02"].speed.ServiceFactor(); factor < 0.93 {
		t.Errorf("factor %.2f of the replica 8 s after it recovered", factor)
	}
}

// Guards against speeds that only the node that saw them knows: a replica without running requests
// is reported, too, and a node's own part of the sum does not count twice.
func TestSpeedsAreShared(t *testing.T) {
	seen, _ := newSpeedFleet(3, 1)
	_, now := serve(seen, start, 4*time.Second, "i-02")
	told, _ := newSpeedFleet(3, 2)
	told.Choose(now, "u", short()).End(now, Cancelled)
	told.SetFleetLoads(seen.Loads(now), nil, now)
	told.upstream("u").refreshSpeeds(now.Add(time.Second / 50))
	if got := told.upstream("u").states["i-02"].speed.ServiceFactor(); got > 0.8 {
		t.Errorf("factor %.2f at a node that was told of a slow replica", got)
	}
	before := seen.upstream("u").states["i-02"].speed.ServiceFactor()
	seen.SetFleetLoads(seen.Loads(now), seen.Loads(now), now)
	seen.upstream("u").refreshSpeeds(now.Add(time.Second / 50))
	if got := seen.upstream("u").states["i-02"].speed.ServiceFactor(); math.Abs(got-before) > 0.05 {
		t.Errorf("factor %.2f after the own part was told back, %.2f before", got, before)
	}
	// Without updates what was told fades.
	told.upstream("u").refreshSpeeds(now.Add(30 * time.Second))
	if got := told.upstream("u").states["i-02"].speed.ServiceFactor(); got < 0.9 {
		t.Errorf("factor %.2f after 30 s without updates", got)
	}
}

// burst places requests that do not end before it is over.
func burst(p *Placer, now time.Time, n int) map[string]int {
	counts := make(map[string]int)
	for range n {
		a := p.Choose(now, "u", &Request{Class: "plain"})
		counts[a.Replica.ID]++
	}
	return counts
}

// Guards against a burst that goes to a replica that has just come, because it looks idle.
func TestNewReplicaGetsItsProportionalPart(t *testing.T) {
	share := func(p *Placer, set *replica.Set) float64 {
		now := start
		p.Choose(now, "u", &Request{Class: "plain"}).End(now, Cancelled)
		loads := make([]Load, 0, 8)
		for i := range 8 {
			loads = append(loads, Load{Replica: fmt.Sprintf("i-%02d", i), Running: 8, Prefill: replicaspeed.Observed{Weight: 5}})
		}
		p.SetFleetLoads(loads, nil, now)
		register(set, 2, 9)
		return float64(burst(p, now.Add(time.Second/20), 36)["i-08"]) / 4
	}
	if without := share(newFleet(8, 1)); without < 2 {
		t.Errorf("without the part a new replica gets %.1f of its part of a burst: the load is no test", without)
	}
	if got := share(newSpeedFleet(8, 1)); got > 1.5 || got == 0 {
		t.Errorf("a new replica gets %.1f of its part of a burst, want about 1", got)
	}
}

// After a restart of all nodes every replica is new; the burst then must not be held back.
func TestNoReplicaIsHeldBackIfAllAreNew(t *testing.T) {
	p, _ := newSpeedFleet(8, 1)
	q, _ := newFleet(8, 1)
	got, want := burst(p, start, 64), burst(q, start, 64)
	for id, n := range want {
		if math.Abs(float64(got[id]-n)) > 3 {
			t.Errorf("%s gets %d of a burst, %d without speeds", id, got[id], n)
		}
	}
}

// Guards against answers without events counting as overdue.
func TestOnlyClassesThatAnswerByEventsAreOverdue(t *testing.T) {
	p, _ := newSpeedFleet(1, 1)
	whole := p.Choose(start, "u", short())
	whole.AnswerStarted(start.Add(time.Second))
	whole.End(start.Add(time.Second), Answered)
	a := p.Choose(start.Add(2*time.Second), "u", short())
	u := p.upstream("u")
	before := a.state.speed.Own(replicaspeed.Prefill).Weight
	u.refreshSpeeds(start.Add(9 * time.Second))
	if w := a.state.speed.Own(replicaspeed.Prefill).Weight; w > before {
		t.Errorf("a class that is answered as a whole has weight %.2f, before %.2f", w, before)
	}
	b := p.Choose(start.Add(9*time.Second), "u", long(1))
	before = b.state.speed.Own(replicaspeed.Prefill).Weight
	u.refreshSpeeds(start.Add(19 * time.Second))
	if w := b.state.speed.Own(replicaspeed.Prefill).Weight; w <= before {
		t.Error("an overdue request does not count")
	}
}

// BenchmarkChooseBySpeed chooses among all of 160 replicas, with factors that are computed anew
// every 20 ms.
func BenchmarkChooseBySpeed(b *testing.B) {
	for _, learned := range []bool{false, true} {
		b.Run(fmt.Sprintf("learned=%v", learned), func(b *testing.B) {
			p, now := benchPlacer(160)
			p.rand = rand.New(rand.NewPCG(1, 1))
			if learned {
				(&ReplicaSpeeds{HalfLife: replicaspeed.DefaultHalfLife}).setUp(p.upstream("u"))
				p.upstream("u").trackSpeeds()
			}
			var others []Load
			for _, s := range p.upstream("u").all {
				others = append(others, Load{Replica: s.replica.ID, Running: 40, RunningShort: 40, Prefill: replicaspeed.Observed{Weight: 20, LogSum: 3}, Decode: replicaspeed.Observed{Weight: 50, LogSum: -4}})
			}
			p.SetFleetLoads(others, nil, now)
			for i := range b.N {
				now = now.Add(3 * time.Millisecond)
				a := p.Choose(now, "u", &Request{PromptTokens: 900, Shared: []PromptPart{{ID: uint64(i % 500), Tokens: 700}}})
				a.AnswerStarted(now)
				a.End(now, Answered)
			}
		})
	}
}
