package intent

import (
	"fmt"
	"strings"

	"galenatrestle/internal/config"
)

// moveStep is the fixed part of one step of a move.
type moveStep struct {
	kind     StepKind
	touches  string
	noReturn bool
}

var moveSteps = []moveStep{
	{kind: StepOfferMove, touches: "target's move record"},
	{kind: StepAwaitReady, touches: "target's models, adapters and capacity"},
	{kind: StepArmNodes, touches: "serving permission of all nodes here"},
	{kind: StepSeal, touches: "right to start work of the set here", noReturn: true},
	{kind: StepTransfer, touches: "claims and recorded outcomes"},
	{kind: StepOpen, touches: "right to start work of the set at the target"},
	{kind: StepSettle, touches: "requests in flight here"},
}

// move plans the hand-over of a set to the other data centre.
func (b *builder) move() error {
	upstreams, err := b.movedUpstreams()
	if err != nil {
		return err
	}
	inFlight := b.inFlight(upstreams)
	capacity := b.targetCapacity(upstreams)
	b.noteBelowTarget(capacity)
	if b.stats.Target.Slots == 0 {
		b.risk("the capacity of data centre %s is not known yet: it is checked before it says ready", b.intent.DataCentre)
	}
	set := b.setName()
	for _, s := range moveSteps {
		step := Step{
			Kind: s.kind, Target: set, Touches: []string{set, s.touches},
			InFlight: inFlight, Expected: expectedWrite, NoReturn: s.noReturn,
		}
		switch s.kind {
		case StepAwaitReady:
			step.Expected = expectedLoad
		case StepOpen:
			step.Capacity = capacity
		case StepSettle:
			step.Expected = expectedFlight
		}
		b.add(step)
	}
	b.risk("between steps 4 and 6 new requests of %s wait within their deadlines", set)
	return nil
}

func (b *builder) setName() string {
	if b.intent.Kind == KindMoveUpstream {
		return "upstream " + b.intent.Upstream
	}
	return "workspaces " + strings.Join(b.intent.Workspaces, ", ")
}

func (b *builder) movedUpstreams() ([]config.Upstream, error) {
	if b.intent.Kind == KindMoveUpstream {
		u, err := findUpstream(b.doc, b.intent.Upstream)
		return []config.Upstream{u}, err
	}
	names := map[string]bool{}
	for _, name := range b.intent.Workspaces {
		w, err := findWorkspace(b.doc, name)
		if err != nil {
			return nil, err
		}
		for _, u := range w.Upstreams {
			names[u] = true
		}
	}
	var list []config.Upstream
	for _, u := range b.doc.Upstreams {
		if names[u.Name] {
			list = append(list, u)
		}
	}
	if len(list) == 0 {
		return nil, &FieldError{Field: "workspaces", Value: fmt.Sprint(b.intent.Workspaces), Message: "use no upstream"}
	}
	return list, nil
}

// Upstreams names the upstreams that a move's set may use; none for other kinds
// and for a set that the document does not have.
func (i Intent) Upstreams(doc *config.Document) []string {
	if i.Kind != KindMoveUpstream && i.Kind != KindMoveWorkspaces {
		return nil
	}
	list, _ := (&builder{intent: i, doc: doc}).movedUpstreams()
	var names []string
	for _, u := range list {
		names = append(names, u.Name)
	}
	return names
}

func (b *builder) inFlight(upstreams []config.Upstream) int {
	total := 0
	for _, u := range upstreams {
		for _, n := range b.stats.Replicas[u.Name] {
			total += n
		}
	}
	return total
}

// targetCapacity is empty where the target's capacity is not known. For
// workspaces the demand of whole upstreams stands for theirs: an upper bound.
func (b *builder) targetCapacity(upstreams []config.Upstream) []ClassCapacity {
	if b.stats.Target.Slots == 0 {
		return nil
	}
	var list []ClassCapacity
	left := b.stats.Target.Slots
	for _, u := range upstreams {
		demand := b.stats.Demand[u.Name]
		list = append(list, capacityLeft(b.doc, u.Name, left, demand)...)
		for _, needed := range demand {
			left = max(0, left-needed)
		}
	}
	return list
}
