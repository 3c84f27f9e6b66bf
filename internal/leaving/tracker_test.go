package leaving

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/membership"
	"galenatrestle/internal/membership/membershiptest"
	"galenatrestle/internal/platform"
)

const (
	nodes = 8
	// propagationLimit is the guaranteed time from the first signal until all nodes stop
	// sending new work.
	propagationLimit = 3 * time.Second
)

// TestSignalReachesAllNodes records a signal from each source on one of eight nodes.
func TestSignalReachesAllNodes(t *testing.T) {
	recorders := map[string]func(t *Tracker, name string){
		"refusal or report": func(t *Tracker, name string) { t.RecordEngineLeaving(name) },
		"operator":          func(t *Tracker, name string) { t.RecordOperator(name, true, 4) },
		"instance list": func(t *Tracker, name string) {
			t.RecordInstances([]platform.Instance{{Name: name, State: platform.InstanceLeaving}})
		},
	}
	bubbletest.Run(t, func(t *testing.T) {
		trackers, stop := startNodes(t)
		defer stop()
		for title, record := range recorders {
			name := "replica of " + title
			record(trackers[3], name)
			took := time.Duration(0)
			for ; countLeaving(trackers, name) < nodes && took < propagationLimit; took += 100 * time.Millisecond {
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%s: received by %d of %d nodes after %v", title, countLeaving(trackers, name), nodes, took)
			if countLeaving(trackers, name) < nodes {
				t.Errorf("%s: not received by all nodes after %v", title, propagationLimit)
			}
		}
	})
}

func TestServingSignalReachesAllNodes(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		trackers, stop := startNodes(t)
		defer stop()
		trackers[0].RecordEngineLeaving("r")
		time.Sleep(propagationLimit)
		trackers[5].RecordEngineServing("r", time.Now())
		time.Sleep(propagationLimit)
		if n := countLeaving(trackers, "r"); n != 0 {
			t.Errorf("replica still leaving on %d nodes", n)
		}
	})
}

func countLeaving(trackers []*Tracker, name string) int {
	n := 0
	for _, t := range trackers {
		if t.Leaving(name) {
			n++
		}
	}
	return n
}

// startNodes starts eight nodes on an in-memory network and waits until they have
// joined.
func startNodes(t *testing.T) ([]*Tracker, func()) {
	ctx, cancel := context.WithCancel(t.Context())
	net := membershiptest.NewNetwork()
	var running sync.WaitGroup
	var trackers []*Tracker
	for i := range nodes {
		name := fmt.Sprintf("vm-%d", i)
		self := membership.Member{Name: name, Region: "r", PeerAddress: name, Incarnation: 1}
		runner := membership.NewRunner(self, membership.Settings{}, net, rand.New(rand.NewPCG(5, uint64(i))))
		tracker := NewTracker(runner, prometheus.NewRegistry())
		runner.OnNote(NoteKind, tracker.Receive)
		runner.AddSeed("vm-0")
		net.Register(name, runner)
		trackers = append(trackers, tracker)
		running.Go(func() { runner.Run(ctx) })
	}
	time.Sleep(30 * time.Second)
	return trackers, func() {
		cancel()
		running.Wait()
	}
}
