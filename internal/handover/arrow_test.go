package handover

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/platform/memstore"
)

// arrowFault is a fault that strikes at one message between the sides.
type arrowFault struct {
	name   string
	strike func(w *simWorld, side *simSide)
}

const (
	shortCut = time.Second
	longCut  = 3 * simLeaseTTL
)

var arrowFaults = []arrowFault{
	{"driver killed", func(w *simWorld, side *simSide) {
		n := side.holder.Load()
		n.stop()
		w.work.Go(func() {
			sleep(w.ctx, shortCut)
			if w.ctx.Err() == nil {
				n.start()
			}
		})
	}},
	{"platform down", func(_ *simWorld, side *simSide) {
		_ = side.kv.Inject(memstore.Fault{Kind: memstore.Down, For: longCut})
	}},
	{"answer lost", func(_ *simWorld, side *simSide) {
		_ = side.kv.Inject(memstore.Fault{Kind: memstore.LostAnswer, Factor: 2})
	}},
	{"link cut for a second", func(w *simWorld, _ *simSide) { w.outer.disturb(shortCut, 0, 0) }},
	{"link cut for longer than a lease", func(w *simWorld, _ *simSide) { w.outer.disturb(longCut, 0, 0) }},
}

// TestFaultAtEachArrow strikes before and after the first message of each kind,
// on each side.
func TestFaultAtEachArrow(t *testing.T) {
	kinds := []MessageKind{MessageOffer, MessageReady, MessageSealed, MessageTransfer, MessageOpen, MessageOpened, MessageDone}
	for _, kind := range kinds {
		for _, fault := range arrowFaults {
			for side := range 2 {
				for _, after := range []bool{false, true} {
					name := fmt.Sprintf("%s, side %d, %s, after %t", kind, side, fault.name, after)
					t.Run(name, func(t *testing.T) {
						bubbletest.Run(t, func(t *testing.T) { strikeAt(t, kind, after, side, fault) })
					})
				}
			}
		}
	}
}

func strikeAt(t *testing.T, kind MessageKind, after bool, side int, fault arrowFault) {
	var once sync.Once
	struck := false
	runSchedule(t, 1, 0, func(w *simWorld) func(MessageKind, bool) {
		return func(seen MessageKind, seenAfter bool) {
			if seen == kind && seenAfter == after {
				once.Do(func() {
					struck = true
					fault.strike(w, w.sides[side])
				})
			}
		}
	})
	if !struck {
		t.Errorf("no %s was sent", kind)
	}
}

func takeDown(t *testing.T, side *simSide, length time.Duration) {
	t.Helper()
	if err := side.kv.Inject(memstore.Fault{Kind: memstore.Down, For: length}); err != nil {
		t.Fatal(err)
	}
}
