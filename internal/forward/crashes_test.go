package forward_test

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/forward"
	"galenatrestle/internal/forward/forwardtest"
	"galenatrestle/internal/route"
)

const (
	crashNodes    = 7
	crashReplicas = 18
	// crashAfter is how long a replica runs a crashing call, restartAfter how long it is down.
	crashAfter   = 100 * time.Millisecond
	restartAfter = 4 * time.Second
	// crashSlack is the time after a call's third crash in which it may still be sent anywhere, and
	// maxLaterSends is the number of times that it may be sent later.
	crashSlack    = 3 * time.Second
	maxLaterSends = 3
)

// crashFleet is a fleet of nodes that share replicas. A call with the body "crash" ends each
// replica that runs it; another process takes the replica's place.
type crashFleet struct {
	nodes []*forwardtest.Fleet

	mu       sync.Mutex
	replicas []*forwardtest.Replica
	started  int
	// sent are the arrivals of crashing calls at replicas, crashed the ends of replicas.
	sent, crashed []time.Time
}

func newCrashFleet(t *testing.T) *crashFleet {
	f := &crashFleet{}
	for range crashReplicas {
		f.replicas = append(f.replicas, f.newReplica())
	}
	for i := range crashNodes {
		f.nodes = append(f.nodes, forwardtest.NewNode(fmt.Sprintf("node-%d", i), f.replicas...))
	}
	t.Cleanup(func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, r := range f.replicas {
			r.Crash()
		}
	})
	return f
}

func (f *crashFleet) newReplica() *forwardtest.Replica {
	f.started++
	var r *forwardtest.Replica
	r = forwardtest.NewReplica(fmt.Sprintf("i-%d", f.started), upstream, func(c *forwardtest.Conn) bool {
		if string(c.Body) != "crash" {
			time.Sleep(3 * crashAfter)
			return answerOK(c)
		}
		f.mu.Lock()
		f.sent = append(f.sent, time.Now())
		f.mu.Unlock()
		time.Sleep(crashAfter)
		f.crash(r)
		return false
	})
	return r
}

// crash ends the replica, unless another call has ended it, and starts its successor later.
func (f *crashFleet) crash(r *forwardtest.Replica) {
	r.Crash()
	f.mu.Lock()
	defer f.mu.Unlock()
	for i := range f.replicas {
		if f.replicas[i] != r {
			continue
		}
		f.crashed = append(f.crashed, time.Now())
		f.replicas[i] = f.newReplica()
		time.AfterFunc(restartAfter, f.register)
	}
}

// register makes the replicas known to all nodes.
func (f *crashFleet) register() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, n := range f.nodes {
		n.SetReplicas(f.replicas...)
	}
}

// exchange lets each node learn the records of three others.
func (f *crashFleet) exchange(random *rand.Rand) {
	now := time.Now()
	for _, n := range f.nodes {
		for range 3 {
			n.Tracker.Merge(now, f.nodes[random.IntN(crashNodes)].Tracker.Records(now))
		}
	}
}

// sendCount returns the number of crashing calls that reached replicas.
func (f *crashFleet) sendCount() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.sent)
}

// laterSends counts the crashing calls that reached a replica later than crashSlack after the third
// crash.
func (f *crashFleet) laterSends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(f.crashed) < 3 {
		return 0
	}
	later := 0
	for _, at := range f.sent {
		if at.Sub(f.crashed[2]) > crashSlack {
			later++
		}
	}
	return later
}

func serveAt(n *forwardtest.Fleet, body string, deadline time.Duration) forward.Ending {
	c := call(route.Idempotent, 3)
	c.Body, c.Deadline = []byte(body), time.Now().Add(deadline)
	return n.Serve(httptest.NewRequest(http.MethodPost, "/", nil).Context(), httptest.NewRecorder(), c)
}

// When a quarantine ended, every node ran the call again, each on several replicas.
func TestCallThatCrashedThreeReplicasIsSentAtMostThriceLater(t *testing.T) {
	for seed := range uint64(4) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				random := rand.New(rand.NewPCG(seed, 1))
				f := newCrashFleet(t)
				var calls sync.WaitGroup
				for step := range 1200 {
					calls.Go(func() { serveAt(f.nodes[step%crashNodes], fmt.Sprint("innocent ", step), 2*time.Second) })
					if step%2 == 0 {
						node := f.nodes[random.IntN(crashNodes)]
						calls.Go(func() { serveAt(node, "crash", 2*time.Second) })
						f.exchange(random)
					}
					time.Sleep(100 * time.Millisecond)
				}
				calls.Wait()
				time.Sleep(restartAfter)
				synctest.Wait()
				if later := f.laterSends(); later > maxLaterSends {
					t.Errorf("sent %d times later than %s after its third crash, want at most %d", later, crashSlack, maxLaterSends)
				}
			})
		})
	}
}

// The quarantine was looked up before the first attempt only.
func TestCallThatCrashedTwoReplicasIsNotTriedAgain(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		f := newCrashFleet(t)
		if ending := serveAt(f.nodes[0], "crash", time.Second); ending != forward.EndedUnknown {
			t.Errorf("ending %s, want %s", ending, forward.EndedUnknown)
		}
		time.Sleep(restartAfter)
		if sent := f.sendCount(); sent > 2 {
			t.Errorf("sent to %d replicas, want at most 2", sent)
		}
	})
}
