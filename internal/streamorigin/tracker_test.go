package streamorigin

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/boottime"
	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/replica"
)

const model = "model"

func clock() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }

// cluster is the nodes of a test with a store. It implements Peers and Store.
type cluster struct {
	mu       sync.Mutex
	nodes    []*testNode
	segments map[string][]Record
	writes   int
	adds     int
	storeErr error
}

// testNode implements Fleet.
type testNode struct {
	*Tracker
	cluster  *cluster
	index    int
	replicas *replica.Set
	revision int64
	down     bool
	stop     context.CancelFunc
}

var errDown = errors.New("down")

// newCluster starts nodes whose replicas have the versions.
func newCluster(t *testing.T, size int, versions ...string) *cluster {
	c := &cluster{segments: make(map[string][]Record)}
	for i := range size {
		started := c.start(t, i, versions)
		c.set(func() { c.nodes = append(c.nodes, started) })
	}
	return c
}

func (c *cluster) start(t *testing.T, index int, versions []string) *testNode {
	n := &testNode{cluster: c, index: index, replicas: replica.NewSet()}
	n.Tracker = New(Options{
		Replicas: n.replicas, Fleet: n, Peers: c, Store: c, Clock: clock,
		Log: eventlog.New(io.Discard, ""), Registry: prometheus.NewRegistry(), Process: nodeName(index) + "/1", Rand: rand.New(rand.NewPCG(1, uint64(index))),
	})
	n.list(versions...)
	ctx, cancel := context.WithCancel(t.Context())
	n.stop = cancel
	go n.Run(ctx)
	t.Cleanup(cancel)
	return n
}

func nodeName(index int) string { return "vm-" + string(rune('0'+index)) }

// list registers one replica of each version at the node.
func (n *testNode) list(versions ...string) {
	n.revision++
	l := replica.Listing{Revision: n.revision}
	for _, v := range versions {
		l.Replicas = append(l.Replicas, replica.Replica{ID: "i-" + v, Upstream: model, Address: v, Version: v})
	}
	n.OnReplicaChanges(n.replicas.Update(l, clock(), clock()))
}

// briefly registers one replica of each version, of which the first one stays.
func (n *testNode) briefly(versions ...string) {
	n.list(versions...)
	// Replicas that are missing after a pause of the reads are kept for a while.
	for range 3 {
		time.Sleep(time.Second)
		n.list(versions[0])
	}
}

// restart replaces the node's process by a new one that knows nothing.
func (c *cluster) restart(t *testing.T, index int, versions ...string) {
	c.nodes[index].stop()
	started := c.start(t, index, versions)
	c.set(func() { c.nodes[index] = started })
}

// set makes a change that running nodes see.
func (c *cluster) set(change func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	change()
}

// RecordKeepers: the first two other nodes keep records, and the first of all saves them.
func (n *testNode) RecordKeepers() ([]Node, bool) {
	holders, _ := n.RecordHolders()
	return holders[:min(2, len(holders))], n.index == 0
}

func (n *testNode) RecordHolders() ([]Node, int) {
	n.cluster.mu.Lock()
	defer n.cluster.mu.Unlock()
	var holders []Node
	for _, other := range n.cluster.nodes {
		if other.index != n.index {
			holders = append(holders, Node{Name: nodeName(other.index), Address: nodeName(other.index)})
		}
	}
	return holders, len(n.cluster.nodes)
}

func (n *testNode) RecordSavers() int { return 1 }

func (c *cluster) node(name string) (*testNode, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, n := range c.nodes {
		if nodeName(n.index) == name && !n.down {
			return n, nil
		}
	}
	return nil, errDown
}

func (c *cluster) Add(_ context.Context, node Node, records []Record, save bool) error {
	c.set(func() { c.adds++ })
	n, err := c.node(node.Name)
	if err == nil {
		n.Tracker.Add(records, save)
	}
	return err
}

func (c *cluster) Find(_ context.Context, node Node, stream StreamID, upstream string) (Answer, error) {
	n, err := c.node(node.Name)
	if err != nil {
		return Answer{}, err
	}
	return n.Tracker.Find(stream, upstream), nil
}

func (c *cluster) Grant(context.Context, time.Duration) (int64, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return 1, c.storeErr
}

func (c *cluster) SaveStreamOrigins(_ context.Context, segment string, records []Record, _ boottime.Instant, _ int64) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.storeErr == nil {
		c.segments[segment] = slices.Clone(records)
		c.writes++
	}
	return c.storeErr
}

func (c *cluster) StreamOrigins(context.Context, boottime.Instant) ([]Record, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var all []Record
	for _, records := range c.segments {
		all = append(all, records...)
	}
	return all, c.storeErr
}

func (n *testNode) began(attempt, version string) {
	n.Began(attempt, Origin{Upstream: model, Version: version}, 15*time.Second, false)
}

func (n *testNode) expect(t *testing.T, attempt string, source Source, version string) {
	t.Helper()
	r := n.Resolve(t.Context(), attempt, model)
	if r.Source != source || r.Version != version || source != Unknown && r.Upstream != model {
		t.Errorf("stream of %s: %s, upstream %q, version %q; want %s, %q (%+v)", attempt, r.Source, r.Upstream, r.Version, source, version, r)
	}
}

func TestStreamIsKnownToOtherNodes(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster(t, 5, "v1", "v2")
		c.nodes[3].began("a", "v2")
		c.nodes[3].expect(t, "a", OwnRecord, "v2")
		c.nodes[4].expect(t, "a", OtherNode, "v2")
		// Its node is killed.
		time.Sleep(2 * shareDelay)
		c.set(func() { c.nodes[3].down = true })
		c.nodes[4].expect(t, "a", OwnRecord, "v2")
		c.nodes[2].expect(t, "a", OtherNode, "v2")
		c.nodes[2].expect(t, "b", Unknown, "")
	})
}

func TestStreamIsKnownAfterAllNodesWereKilled(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster(t, 5, "v1", "v2")
		c.nodes[3].began("a", "v2")
		c.nodes[0].began("b", "v1")
		time.Sleep(time.Second)
		for i := range c.nodes {
			c.restart(t, i, "v1", "v2")
		}
		c.nodes[1].expect(t, "a", SavedRecord, "v2")
		c.nodes[1].expect(t, "b", OwnRecord, "v1")
		c.nodes[2].expect(t, "c", Unknown, "")
		c.set(func() { c.storeErr = platform.ErrUnavailable })
		c.nodes[4].expect(t, "a", OtherNode, "v2")
	})
}

func TestStreamBeganAtTheOnlyVersion(t *testing.T) {
	tests := map[string]struct {
		prepare func(t *testing.T, c *cluster)
		want    Source
	}{
		"nothing happened": {func(*testing.T, *cluster) {}, OnlyVersion},
		"the store is away": {func(_ *testing.T, c *cluster) {
			c.set(func() { c.storeErr = platform.ErrUnavailable })
		}, OnlyVersion},
		"all nodes were killed": {func(t *testing.T, c *cluster) {
			for i := range c.nodes {
				c.restart(t, i, "v1")
			}
		}, OnlyVersion},
		"all nodes were killed and the store is away": {func(t *testing.T, c *cluster) {
			c.set(func() { c.storeErr = platform.ErrUnavailable })
			for i := range c.nodes {
				c.restart(t, i, "v1")
			}
		}, Unknown},
		"all nodes were killed a while ago and the store is away": {func(t *testing.T, c *cluster) {
			for i := range c.nodes {
				c.restart(t, i, "v1")
			}
			time.Sleep(3 * firstSavedRead)
			c.set(func() { c.storeErr = platform.ErrUnavailable })
		}, OnlyVersion},
		"this node was killed": {func(t *testing.T, c *cluster) {
			c.set(func() { c.storeErr = platform.ErrUnavailable })
			c.restart(t, 0, "v1")
		}, OnlyVersion},
		"another version served a while ago": {func(_ *testing.T, c *cluster) {
			c.nodes[0].briefly("v1", "v2")
			time.Sleep(maxRetention / 2)
		}, Unknown},
		"another version served long ago": {func(_ *testing.T, c *cluster) {
			c.nodes[0].briefly("v1", "v2")
			time.Sleep(maxRetention)
		}, OnlyVersion},
		"another node has seen another version": {func(_ *testing.T, c *cluster) {
			c.nodes[2].list("v1", "v2")
		}, Unknown},
		"cut off from the store and from all nodes": {func(_ *testing.T, c *cluster) {
			c.set(func() { c.storeErr = platform.ErrUnavailable })
			for _, n := range c.nodes[1:] {
				c.set(func() { n.down = true })
			}
			time.Sleep(2 * maxListingAge)
		}, Unknown},
		"cut off from the store only": {func(_ *testing.T, c *cluster) {
			c.set(func() { c.storeErr = platform.ErrUnavailable })
			time.Sleep(2 * maxListingAge)
		}, OnlyVersion},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := newCluster(t, 3, "v1")
				time.Sleep(2 * maxRetention)
				c.nodes[0].list("v1")
				test.prepare(t, c)
				version := "v1"
				if test.want == Unknown {
					version = ""
				}
				c.nodes[0].expect(t, "a", test.want, version)
			})
		})
	}
}

// Guards against streams that go on at another version: a node that had missed a release concluded from a listing of less than
// two seconds, or from most nodes, that there was only one.
func TestNodeThatMissedAReleaseDoesNotInferTheVersion(t *testing.T) {
	for name, test := range map[string]struct {
		// missed are the nodes that have missed the release; reached those that node 0 reaches.
		missed, reached []int
		listingAge      time.Duration
		storeErr        error
		want            Source
	}{
		"cut off from the store and all nodes":           {[]int{0}, nil, 1500 * time.Millisecond, platform.ErrUnavailable, Unknown},
		"cut off from the store, with another node":      {[]int{0, 1}, []int{1}, 1500 * time.Millisecond, platform.ErrUnavailable, Unknown},
		"cut off from the store, with most nodes":        {[]int{0, 1, 2, 3}, []int{1, 2, 3}, 3 * time.Second, platform.ErrUnavailable, Unknown},
		"cut off from all nodes, the store is reached":   {[]int{0}, nil, 3 * time.Second, nil, Unknown},
		"cut off from one node, with a recent listing":   {nil, []int{1, 2, 3}, time.Second, platform.ErrUnavailable, OnlyVersion},
		"cut off from most nodes, with a recent listing": {nil, []int{1}, time.Second, nil, OnlyVersion},
	} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := newCluster(t, 5, "v1")
				time.Sleep(2 * maxRetention)
				for i, n := range c.nodes {
					n.list("v1")
					if len(test.missed) > 0 && !slices.Contains(test.missed, i) {
						n.list("v1", "v2")
					}
				}
				time.Sleep(test.listingAge)
				c.set(func() {
					c.storeErr = test.storeErr
					for i, n := range c.nodes {
						n.down = !slices.Contains(test.reached, i)
					}
				})
				version := "v1"
				if test.want == Unknown {
					version = ""
				}
				c.nodes[0].expect(t, "a", test.want, version)
			})
		})
	}
}

func TestStreamOfAnAttemptThatIsNotToldIsLeftOut(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, "v1", "v2")
		c.nodes[1].began("", "v1")
		time.Sleep(time.Second)
		synctest.Wait()
		if len(c.segments) != 0 {
			t.Errorf("segments %v saved, want none", c.segments)
		}
		c.nodes[1].expect(t, "", Unknown, "")
	})
}

// Guards against streams that can't be resumed because only their node knew where they began: it froze before it learned of
// a second version, or was killed after their route was split.
func TestStreamOfOneVersionIsKnownAfterItsNodeHasStopped(t *testing.T) {
	for name, versions := range map[string][]string{"a release begins": {"v1", "v2"}, "the route is split": {"v1"}} {
		t.Run(name, func(t *testing.T) {
			bubbletest.Run(t, func(t *testing.T) {
				c := newCluster(t, 5, "v1")
				time.Sleep(2 * maxRetention)
				c.nodes[3].began("a", "v1")
				time.Sleep(2 * copyDelay)
				c.set(func() { c.nodes[3].down = true })
				for _, i := range []int{0, 1, 2, 4} {
					c.nodes[i].list(versions...)
				}
				c.nodes[1].expect(t, "a", OwnRecord, "v1")
				c.nodes[2].expect(t, "a", OtherNode, "v1")
			})
		})
	}
}

// Records cost calls and writes. While one version serves, there are a few calls a second and no writes.
func TestStreamsOfOneVersionAreCopiedInFewCalls(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, "v1")
		const streams = 100
		for i := range streams {
			c.nodes[1].began(strconv.Itoa(i), "v1")
			time.Sleep(time.Second / streams)
		}
		c.nodes[1].began("a", "v1")
		time.Sleep(time.Second)
		synctest.Wait()
		const keepers = 2
		if limit := keepers * int(time.Second/copyDelay+1); c.adds > limit || c.writes != 0 {
			t.Errorf("%d calls, %d writes to the store; want at most %d and none", c.adds, c.writes, limit)
		}
		// A second version appears while the stream may still be resumed.
		c.nodes[1].list("v1", "v2")
		time.Sleep(time.Second)
		synctest.Wait()
		if r := c.nodes[0].Find(IDOf("a"), model); r.Record == nil || c.writes != 1 {
			t.Errorf("record %+v at another node, %d writes to the store; want one", r.Record, c.writes)
		}
	})
}

func TestRecordsReachANodeThatReplacesAKeeper(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster(t, 4, "v1", "v2")
		c.set(func() { c.nodes[0].down = true })
		c.nodes[3].began("a", "v1")
		time.Sleep(time.Second)
		c.restart(t, 0, "v1", "v2")
		time.Sleep(time.Second)
		if c.nodes[0].Find(IDOf("a"), model).Record == nil {
			t.Error("a keeper that came back does not have the record")
		}
	})
}

// The writes are bounded, however many streams begin, and none is lost in an outage of the store.
func TestRecordsAreSavedInBoundedWrites(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		c := newCluster(t, 3, "v1", "v2")
		const streams, seconds = 2000, 20
		for i := range streams {
			if i == streams/2 {
				c.set(func() { c.storeErr = platform.ErrUnavailable })
			}
			if i == streams*3/4 {
				c.set(func() { c.storeErr = nil })
			}
			c.nodes[i%3].began(string(rune('a'+i%26))+time.Duration(i).String(), "v1")
			time.Sleep(seconds * time.Second / streams)
		}
		time.Sleep(2 * saveRetryPause)
		synctest.Wait()
		records, _ := c.StreamOrigins(t.Context(), clock())
		if limit := int(seconds * time.Second / saveInterval); len(records) < streams || c.writes > limit {
			t.Errorf("%d records saved of %d, in %d writes; want all, in at most %d", len(records), streams, c.writes, limit)
		}
		for name, segment := range c.segments {
			if len(segment) > streams/2 {
				t.Errorf("segment %s has %d records", name, len(segment))
			}
		}
	})
}
