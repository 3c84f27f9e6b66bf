package handover

import (
	"fmt"
	"slices"
	"strings"
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

// next returns the worlds that one event leads to.
func (w *modelWorld) next() []*modelWorld {
	var list []*modelWorld
	try := func(event func(c *modelWorld) bool) {
		c := w.clone()
		if event(c) {
			list = append(list, c)
		}
	}
	if w.tick < w.b.ticks {
		try(func(c *modelWorld) bool { c.tick++; return true })
	}
	for i := range w.drivers {
		if w.quiet {
			// The target is open: only what nodes may still do counts.
			break
		}
		try(func(c *modelWorld) bool { return c.step(i, SourceInput{Kind: SourceTick}) })
		try(func(c *modelWorld) bool { return c.apply(i) })
		try(func(c *modelWorld) bool { return c.learn(i) })
		try(func(c *modelWorld) bool { return c.abandon(i) })
	}
	try(func(c *modelWorld) bool { return c.takeOver() })
	for i := range w.nodes {
		try(func(c *modelWorld) bool { return c.nodeLife(i) })
		try(func(c *modelWorld) bool { return c.nodeAsk(i) })
		try(func(c *modelWorld) bool { return c.nodeRead(i) })
		try(func(c *modelWorld) bool { return c.nodeRestart(i) })
	}
	for _, id := range w.messages {
		try(func(c *modelWorld) bool { return c.deliver(w.ids.list[id]) })
	}
	return list
}

// step gives a driver an input; a change of the record starts a write.
func (w *modelWorld) step(i int, in SourceInput) bool {
	d := &w.drivers[i]
	if d.crashed || d.next != nil {
		return false
	}
	next, actions := d.s.Step(in, w.now())
	if next.Move.Phase != d.s.Move.Phase {
		d.next, d.expect, d.applied = &next, d.s.Move.Revision, 0
		return true
	}
	d.s = next
	w.act(d, actions)
	return true
}

func (w *modelWorld) act(d *modelDriver, actions []Action) {
	for _, a := range actions {
		switch a.Kind {
		case ActionList:
			w.put(modelMessage{kind: "listed", epoch: d.epoch, roster: w.roster()})
		case ActionArm:
			w.put(modelMessage{kind: "arm", node: a.Node, epoch: d.epoch})
		case ActionStop:
			w.put(modelMessage{kind: "stop", node: a.Node, epoch: d.epoch})
		}
	}
	w.quiet = w.quiet || d.s.Quiet
}

func (w *modelWorld) roster() string {
	var names []string
	for _, n := range w.nodes {
		if n.registered {
			names = append(names, n.name)
		}
	}
	return strings.Join(names, ",")
}

// apply lets a write in flight reach the platform, also that of a dead driver.
func (w *modelWorld) apply(i int) bool {
	d := &w.drivers[i]
	if d.next == nil || d.applied != 0 {
		return false
	}
	d.applied = 2
	if w.revision == d.expect {
		w.revision++
		w.record = d.next.Move
		w.record.Revision = w.revision
		d.applied = 1
	}
	return true
}

// learn lets a driver hear what became of its write.
func (w *modelWorld) learn(i int) bool {
	d := &w.drivers[i]
	if d.crashed || d.applied == 0 {
		return false
	}
	if d.applied == 2 {
		d.crashed, d.next = true, nil
		return true
	}
	d.s, d.next, d.applied = *d.next, nil, 0
	d.s.Move.Revision = d.expect + 1
	w.act(d, d.s.actions())
	return true
}

func (w *modelWorld) abandon(i int) bool {
	if w.abandons >= w.b.abandons || w.drivers[i].crashed || w.drivers[i].next != nil {
		return false
	}
	w.abandons++
	return w.step(i, SourceInput{Kind: SourceAbandon})
}

// takeOver starts a further driver. The older one may be dead or only paused:
// one that does nothing any more is one of the orders explored.
func (w *modelWorld) takeOver() bool {
	if w.quiet || len(w.drivers) >= w.b.drivers || w.record.Phase.Final() {
		return false
	}
	epoch := int64(len(w.drivers) + 1)
	w.revision++
	w.record.DriverEpoch, w.record.Revision = epoch, w.revision
	w.drivers = append(w.drivers, modelDriver{epoch: epoch, s: NewSource(w.record, modelTiming, w.now())})
	return true
}

// nodeLife registers a node that is not there.
func (w *modelWorld) nodeLife(i int) bool {
	if w.nodes[i].stage != 0 {
		return false
	}
	w.nodes[i].stage = 1
	w.nodes[i].registered = true
	return true
}

func (w *modelWorld) nodeRead(i int) bool {
	n := &w.nodes[i]
	if n.stage == 0 {
		return false
	}
	w.put(modelMessage{kind: fmt.Sprint("table", n.stage, "/", w.restarts), node: n.name, epoch: w.record.DriverEpoch, phase: w.record.Phase, tick: int(w.revision)})
	return true
}

func (w *modelWorld) nodeRestart(i int) bool {
	if w.restarts >= w.b.restarts || w.nodes[i].stage != 2 {
		return false
	}
	w.restarts++
	w.nodes[i].stage = 0
	w.nodes[i].p = Permission{}
	return true
}

func (w *modelWorld) nodeAsk(i int) bool {
	n := &w.nodes[i]
	if n.stage != 2 {
		return false
	}
	for _, ask := range n.p.Asks() {
		w.put(modelMessage{kind: fmt.Sprint("ask/", w.restarts), node: n.name, epoch: ask.Epoch, tick: w.tick})
	}
	return true
}

func (w *modelWorld) node(name string) *modelNode {
	for i := range w.nodes {
		if w.nodes[i].name == name {
			return &w.nodes[i]
		}
	}
	return nil
}

func (w *modelWorld) deliver(m modelMessage) bool {
	kind, life, _ := strings.Cut(m.kind, "/")
	if life != "" && life != fmt.Sprint(w.restarts) {
		// An answer to a process that is gone.
		return false
	}
	n := w.node(m.node)
	switch kind {
	case "listed":
		return w.step(int(m.epoch-1), SourceInput{Kind: SourceListed, Nodes: strings.FieldsFunc(m.roster, func(r rune) bool { return r == ',' })})
	case "armed", "stopped":
		return w.step(int(m.epoch-1), SourceInput{Kind: SourceInputKind(kind), Node: m.node, Epoch: m.epoch})
	case "ask":
		return w.answer(m)
	case "arm":
		if n.stage != 2 || !n.p.Arm("m", w.record.Set, "", m.epoch, w.now()) {
			return false
		}
		w.put(modelMessage{kind: "armed", node: m.node, epoch: m.epoch})
	case "stop":
		if n.stage != 2 {
			return false
		}
		n.p.Stop("m", w.record.Set, m.epoch)
		w.put(modelMessage{kind: "stopped", node: m.node, epoch: m.epoch})
	case "permit":
		n.p.Permit("m", m.epoch, modelTime(m.tick), m.yes)
	case "table1", "table2":
		return w.table(n, m, kind)
	}
	return true
}

func (w *modelWorld) answer(m modelMessage) bool {
	d := &w.drivers[m.epoch-1]
	if d.crashed {
		return false
	}
	state := &d.s
	if d.next != nil {
		state = d.next
	}
	answered, yes := state.Permit(m.node, m.epoch, w.now())
	if d.next != nil {
		d.next = &answered
	} else {
		d.s = answered
	}
	if yes {
		w.put(modelMessage{kind: strings.Replace(m.kind, "ask", "permit", 1), node: m.node, epoch: m.epoch, tick: m.tick, yes: true})
	}
	return true
}

func (w *modelWorld) table(n *modelNode, m modelMessage, kind string) bool {
	record := w.record
	record.Phase, record.DriverEpoch, record.Revision = m.phase, m.epoch, int64(m.tick)
	if kind == "table2" && n.stage == 2 {
		n.p.Refresh([]Move{record}, record.Revision)
		return true
	}
	if kind == "table1" && n.stage == 1 {
		n.p, n.stage = modelPermission(record), 2
		return true
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
