package replicapath

import (
	"math/rand/v2"
	"testing"
	"time"
)

// A node that was cut off refused calls though a node that was just stopping could still have helped.
func TestLeavingNodeHelpsIfNoOtherCan(t *testing.T) {
	serving, leaving := Helper{Name: "vm-2"}, Helper{Name: "vm-3", Leaving: true}
	draw := func(int) []Helper { return []Helper{leaving, serving} }
	random := rand.New(rand.NewPCG(1, 1))
	now := time.Now()
	var h helpers
	for range 20 {
		if order := h.next(now, random, draw); order[0] != serving {
			t.Fatalf("order %v, want the serving node first", order)
		}
	}
	h.markUnable(now, serving)
	if order := h.next(now, random, draw); len(order) != 1 || order[0] != leaving {
		t.Errorf("order %v, want the leaving node alone", order)
	}
	if order := h.next(now.Add(unablePause), random, draw); len(order) != 2 {
		t.Errorf("order %v after the pause, want both", order)
	}
}
