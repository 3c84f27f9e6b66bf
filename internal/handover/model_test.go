package handover

import (
	"slices"
	"testing"
	"time"
)

// The model check explores every order of events of one move on the source's
// side, with the real Source and Permission: messages are lost, doubled and
// reordered at will (a sent one stays deliverable for ever), two drivers may
// live at once, writes may take effect late, nodes join and restart. The target
// is taken to open the moment the source is quiet, which is its worst case.

const modelTick = time.Second

var (
	modelEpoch  = time.Unix(1000, 0)
	modelTiming = Timing{Term: modelTick}
)

func modelTime(tick int) time.Time { return modelEpoch.Add(time.Duration(tick) * modelTick) }

type modelBounds struct {
	ticks, drivers, restarts, abandons int
	// joiner: the only node is not there at first.
	joiner bool
}

type modelMessage struct {
	kind   string
	node   string
	epoch  int64
	tick   int
	yes    bool
	roster string
	phase  Phase
}

type modelNode struct {
	name string
	// stage: 0 not there, 1 registered, 2 running.
	stage int
	// registered stays true when the node's process is gone.
	registered bool
	p          Permission
}

type modelDriver struct {
	epoch   int64
	crashed bool
	s       Source
	// next is the state that a write in flight will make durable.
	next    *Source
	expect  int64
	applied int // 0 not decided, 1 took effect, 2 refused
}

type modelWorld struct {
	b        modelBounds
	tick     int
	record   Move
	revision int64
	drivers  []modelDriver
	nodes    []modelNode
	// messages are the ids of those sent, sorted.
	messages []int
	ids      *modelIDs
	restarts int
	abandons int
	quiet    bool
}

// modelIDs numbers messages.
type modelIDs struct {
	ids  map[modelMessage]int
	list []modelMessage
}

func (x *modelIDs) id(m modelMessage) int {
	id, ok := x.ids[m]
	if !ok {
		id = len(x.list)
		x.ids[m] = id
		x.list = append(x.list, m)
	}
	return id
}

func newModel(b modelBounds) *modelWorld {
	w := &modelWorld{b: b, revision: 1, ids: &modelIDs{ids: map[modelMessage]int{}}}
	w.record = Move{ID: "m", Role: RoleSource, Set: Set{Upstreams: []string{"u"}}, Peer: "t", Phase: PhaseArming, SealAllowed: true, Created: 1, DriverEpoch: 1, Revision: 1}
	before := w.record
	before.Phase = PhaseOffered
	w.nodes = []modelNode{{name: "a", stage: 2, registered: true, p: modelPermission(before)}}
	if b.joiner {
		w.nodes = []modelNode{{name: "b"}}
	}
	w.drivers = []modelDriver{{epoch: 1, s: NewSource(w.record, modelTiming, modelTime(0))}}
	return w
}

func modelPermission(m Move) Permission {
	p := Permission{Home: func(string, string) bool { return true }, Term: modelTiming.Term}
	p.Refresh([]Move{m}, m.Revision)
	p.Registered = true
	return p
}

func (w *modelWorld) clone() *modelWorld {
	c := *w
	c.drivers = slices.Clone(w.drivers)
	c.messages = slices.Clone(w.messages)
	c.nodes = slices.Clone(w.nodes)
	for i := range c.nodes {
		c.nodes[i].p.moves = slices.Clone(w.nodes[i].p.moves)
	}
	return &c
}

func (w *modelWorld) now() time.Time { return modelTime(w.tick) }

func (w *modelWorld) put(m modelMessage) {
	id := w.ids.id(m)
	if i, found := slices.BinarySearch(w.messages, id); !found {
		w.messages = slices.Insert(w.messages, i, id)
	}
}

// ticks encodes a time in a byte; a zero time is 255.
func ticks(t time.Time) byte {
	if t.IsZero() {
		return 255
	}
	return byte(t.Sub(modelEpoch) / modelTick)
}

func flags(list ...bool) byte {
	b := byte(0)
	for i, set := range list {
		if set {
			b |= 1 << i
		}
	}
	return b
}

func (s *Source) modelKey(b []byte) []byte {
	b = append(b, byte(s.Move.Phase.rank()), byte(s.Move.DriverEpoch), ticks(s.LastPermit), flags(s.Listed, s.Quiet))
	for _, n := range s.Nodes {
		b = append(b, n.Name[0], flags(n.Armed, n.Stopped))
	}
	return append(b, ';')
}

// key encodes the world; equal worlds have equal keys.
func (w *modelWorld) key() string {
	b := make([]byte, 0, 128)
	b = append(b, byte(w.tick), byte(w.record.Phase.rank()), byte(w.record.DriverEpoch), byte(w.revision), byte(w.restarts), byte(w.abandons), flags(w.quiet))
	for i := range w.drivers {
		d := &w.drivers[i]
		b = append(b, byte(d.epoch), flags(d.crashed, d.next != nil), byte(d.expect), byte(d.applied))
		b = d.s.modelKey(b)
		if d.next != nil {
			b = d.next.modelKey(b)
		}
	}
	for i := range w.nodes {
		n := &w.nodes[i]
		b = append(b, byte(n.stage), byte(n.p.Revision), flags(n.registered))
		for _, m := range n.p.moves {
			b = append(b, byte(m.move.Phase.rank()), byte(m.move.DriverEpoch), byte(m.armed), ticks(m.until))
		}
	}
	for _, id := range w.messages {
		b = append(b, byte(id>>8), byte(id))
	}
	return string(b)
}

// violated says that the target may be open while a node here may start work.
func (w *modelWorld) violated() bool {
	if !w.quiet {
		return false
	}
	for i := range w.nodes {
		if w.nodes[i].stage == 2 && w.nodes[i].p.Verdict("u", "", w.now()).Kind == Serve {
			return true
		}
	}
	return false
}

// explore visits every reachable world; it returns their number and the worlds
// in which the source was quiet.
func explore(t *testing.T, b modelBounds) (states, quiet int) {
	t.Helper()
	seen := map[string]bool{}
	stack := []*modelWorld{newModel(b)}
	for len(stack) > 0 {
		w := stack[len(stack)-1]
		stack = stack[:len(stack)-1]
		key := w.key()
		if seen[key] {
			continue
		}
		seen[key] = true
		if w.violated() {
			t.Fatalf("after %d states: the target may open while a node may start work:\n%+v", len(seen), w)
		}
		if w.quiet {
			quiet++
		}
		stack = append(stack, w.next()...)
	}
	return len(seen), quiet
}

func TestModelSealBeforeOpen(t *testing.T) {
	for _, c := range []struct {
		name   string
		bounds modelBounds
	}{
		{"one driver, one node", modelBounds{ticks: 3, drivers: 1}},
		{"node restarts", modelBounds{ticks: 2, drivers: 1, restarts: 1}},
		{"driver replaced", modelBounds{ticks: 1, drivers: 2}},
		{"node joins", modelBounds{ticks: 2, drivers: 1, joiner: true}},
		{"node joins, driver replaced", modelBounds{ticks: 0, drivers: 2, joiner: true}},
		{"abandoned", modelBounds{ticks: 1, drivers: 1, abandons: 1}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			states, quiet := explore(t, c.bounds)
			t.Logf("%d states, %d of them quiet", states, quiet)
			if quiet == 0 {
				t.Fatal("no run came to the end: the check shows nothing")
			}
		})
	}
}
