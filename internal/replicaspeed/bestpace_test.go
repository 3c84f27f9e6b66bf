package replicaspeed

import (
	"testing"
	"time"
)

// Guards against replicas that are taken for slow because much runs there: the quick ones of a fleet of
// two speeds got the same estimates as idle slow ones.
func TestGradesCompareReplicasAndNotTheirLoad(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	answers := [][]float64{{9, 30, 45}, {50, 12, 60}, {20, 21}, {22, 70, 90}, {20}, {24, 22}, {}}
	want := []Grade{FastGrade, FastGrade, UsualGrade, UsualGrade, UsualGrade, UsualGrade, UsualGrade}
	paces, grades := make([]*BestPace, len(answers)), make([]Grade, len(answers))
	for i, list := range answers {
		paces[i] = new(BestPace)
		for _, ms := range list {
			paces[i].ObserveAnswer(now, 10, time.Duration(10*ms*float64(time.Millisecond)))
		}
	}
	var g Grading
	if !g.Update(now, paces, grades) || !g.Unlike {
		t.Error("no grade has changed")
	}
	for i, g := range grades {
		if g != want[i] {
			t.Errorf("replica %d: grade %d, want %d", i, g, want[i])
		}
	}
	if g.Update(now, paces, grades) {
		t.Error("grades change without news")
	}
}

// Guards against an order of replicas of one speed by what they happen to run, which moves sessions
// for nothing: on such a deployment more than twice as many shared parts were copied.
func TestReplicasOfOneSpeedAreUsual(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	paces, grades := make([]*BestPace, 10), make([]Grade, 10)
	for i := range paces {
		paces[i] = new(BestPace)
		paces[i].Observe(now, 20+float64(i))
	}
	var g Grading
	if g.Update(now, paces, grades) || g.Unlike {
		t.Errorf("grades %v of replicas from 20 to 29 ms", grades)
	}
}

// Guards against a best pace that holds for good after the replica has become slower.
func TestBestPaceIsForgotten(t *testing.T) {
	now := time.Unix(1_000_000, 0)
	var p BestPace
	p.Observe(now, 10)
	p.Observe(now.Add(time.Second), 20)
	if got := p.MS(now.Add(time.Second)); got > 11 {
		t.Errorf("pace %.1f a second after 10 ms", got)
	}
	later := now.Add(4 * paceMemory)
	p.Observe(later, 20)
	if got := p.MS(later); got != 20 {
		t.Errorf("pace %.1f, want that of the slower replica", got)
	}
	p.ObserveAnswer(later, minPaceEvents-1, time.Millisecond)
	p.Observe(later, 0)
	if got := p.MS(later); got != 20 {
		t.Errorf("pace %.1f after answers that tell nothing", got)
	}
}
