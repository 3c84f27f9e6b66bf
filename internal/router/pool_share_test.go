package router

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// saturatingClasses have queue bounds above the highest number of slots in the test, so that no queue
// becomes empty even if all slots become free at once.
func saturatingClasses() []config.Class {
	classes := propertyClasses()
	for i := range classes {
		classes[i].QueueBound = 13
	}
	return classes
}

// saturate keeps all queues full and returns the slot time used by each class.
func saturate(t *rapid.T, slots int, serviceTime map[string]time.Duration, span time.Duration) map[string]time.Duration {
	p := NewPool(Options{Classes: saturatingClasses(), Replicas: []Replica{{Name: "a", Slots: slots}}})
	endTimes := make(map[string]time.Time)
	classOf := make(map[string]string)
	slotTime := make(map[string]time.Duration)
	lastID := 0
	for now := start; now.Before(start.Add(span)); now = now.Add(250 * time.Millisecond) {
		for id, end := range endTimes {
			if !end.After(now) {
				p.Finish(now, id, ResultDone)
				delete(endTimes, id)
			}
		}
		for _, class := range saturatingClasses() {
			for p.classes[class.Name].waiting < class.QueueBound {
				lastID++
				id := strconv.Itoa(lastID)
				classOf[id] = class.Name
				if refused := p.Submit(now, Request{
					ID: id, Class: class.Name, Workspace: "w", Arrived: now, Attempt: 1,
					AnswerBy: now.Add(class.TargetAnswer.Std()), GiveUpAt: now.Add(class.GiveUpAfter.Std()),
				}); refused != nil {
					if refused.Reason != refusal.TooLate {
						t.Fatalf("Submit = %v", refused)
					}
					break
				}
			}
		}
		for _, decision := range p.Decide(now) {
			class := classOf[decision.ID]
			delete(classOf, decision.ID)
			if decision.Replica != nil {
				endTimes[decision.ID] = now.Add(serviceTime[class])
				slotTime[class] += serviceTime[class]
			}
		}
	}
	return slotTime
}

// With full queues, each class must be served and lower tiers must stay within their shares.
func TestEveryClassIsServedWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		serviceTime := make(map[string]time.Duration)
		for _, class := range propertyClasses() {
			serviceTime[class.Name] = time.Duration(rapid.IntRange(1, 8).Draw(t, class.Name)) * time.Second
		}
		const span = 12 * time.Minute
		slotTime := saturate(t, slots, serviceTime, span)
		total := span.Seconds() * float64(slots)
		lowerTiersSeconds := 0.0
		for _, class := range propertyClasses() {
			if slotTime[class.Name] == 0 {
				t.Fatalf("class %s was never served: %v", class.Name, slotTime)
			}
			if class.Tier == 0 {
				continue
			}
			lowerTiersSeconds += slotTime[class.Name].Seconds()
			maxSeconds := max(class.MinShare, 0.01)*total + 2*serviceTime[class.Name].Seconds()
			if got := slotTime[class.Name].Seconds(); got > maxSeconds {
				t.Errorf("class %s used %.0f slot seconds of %.0f, want at most %.0f", class.Name, got, total, maxSeconds)
			}
		}
		if top := slotTime["t0"].Seconds(); top < 0.9*(total-lowerTiersSeconds) {
			t.Errorf("tier 0 used %.0f of %.0f slot seconds left by lower tiers, want at least 90%%", top, total-lowerTiersSeconds)
		}
	})
}
