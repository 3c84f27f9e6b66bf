package handover

import (
	"fmt"
	"strings"
)

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
		n.p.Stop(Move{ID: "m", Set: w.record.Set, DriverEpoch: m.epoch, Phase: PhaseSealed})
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
