package router

import (
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// floodClasses have queues that outlast all slots coming free at once.
func floodClasses() []config.Class {
	classes := propertyClasses()
	for i := range classes {
		classes[i].QueueBound = 13
	}
	return classes
}

// flood keeps a pool's higher tiers full and returns each class's slot time.
func flood(t *rapid.T, slots int, service map[string]time.Duration, span time.Duration) map[string]time.Duration {
	p := NewPool(Options{Classes: floodClasses(), Replicas: []Replica{{Name: "a", Slots: slots}}})
	ends := make(map[string]time.Time)
	classOf := make(map[string]string)
	held := make(map[string]time.Duration)
	serial := 0
	for now := start; now.Before(start.Add(span)); now = now.Add(250 * time.Millisecond) {
		for id, end := range ends {
			if !end.After(now) {
				p.Finish(now, id, ResultDone)
				delete(ends, id)
			}
		}
		for _, class := range floodClasses() {
			for p.classes[class.Name].waiting < class.QueueBound {
				serial++
				id := strconv.Itoa(serial)
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
		for _, event := range p.Decide(now) {
			class := classOf[event.ID]
			delete(classOf, event.ID)
			if event.Replica != nil {
				ends[event.ID] = now.Add(service[class])
				held[class] += service[class]
			}
		}
	}
	return held
}

// Under a flood of all classes every class is served, and the shares of the
// lower ones take no more than their part from the highest.
func TestEveryClassIsServedWithinItsShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 12).Draw(t, "slots")
		service := make(map[string]time.Duration)
		for _, class := range propertyClasses() {
			service[class.Name] = time.Duration(rapid.IntRange(1, 8).Draw(t, class.Name)) * time.Second
		}
		const span = 12 * time.Minute
		held := flood(t, slots, service, span)
		total := span.Seconds() * float64(slots)
		lower := 0.0
		for _, class := range propertyClasses() {
			if held[class.Name] == 0 {
				t.Fatalf("class %s was never served: %v", class.Name, held)
			}
			if class.Tier == 0 {
				continue
			}
			lower += held[class.Name].Seconds()
			most := max(class.MinShare, 0.01)*total + 2*service[class.Name].Seconds()
			if got := held[class.Name].Seconds(); got > most {
				t.Errorf("class %s held %.0f slot seconds of %.0f, want at most %.0f", class.Name, got, total, most)
			}
		}
		if top := held["t0"].Seconds(); top < 0.9*(total-lower) {
			t.Errorf("tier 0 held %.0f slot seconds of the %.0f left", top, total-lower)
		}
	})
}
