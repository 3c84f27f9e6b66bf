package intent

import (
	"cmp"
	"slices"

	"galenatrestle/internal/config"
)

// DefaultSlotsPerReplica applies where an upstream names none.
const DefaultSlotsPerReplica = 8

// slots returns what the upstream's replicas offer together, without the
// excluded one.
func slots(u config.Upstream, excluded string) float64 {
	perReplica := u.SlotsPerReplica
	if perReplica == 0 {
		perReplica = DefaultSlotsPerReplica
	}
	total := 0
	for _, r := range u.Replicas {
		if r.Leaving || r.Name == excluded {
			continue
		}
		total += perReplica
	}
	return float64(total)
}

// Slots returns what the upstream's replicas that are not leaving offer
// together.
func Slots(u config.Upstream) float64 { return slots(u, "") }

// capacityLeft gives the slots to the classes in the order of their tiers and
// returns what each finds.
func capacityLeft(doc *config.Document, upstream string, total float64, demand map[string]float64) []ClassCapacity {
	classes := slices.Clone(doc.Classes)
	slices.SortStableFunc(classes, func(a, b config.Class) int { return cmp.Compare(a.Tier, b.Tier) })
	left := total
	list := make([]ClassCapacity, 0, len(classes))
	for _, c := range classes {
		if !classUses(doc, c.Name, upstream) {
			continue
		}
		needed := demand[c.Name]
		list = append(list, ClassCapacity{
			Class: c.Name, Upstream: upstream,
			Left: left, Needed: needed, BelowTarget: left < needed || left == 0,
		})
		left = max(0, left-needed)
	}
	return list
}

// classUses says whether any workspace with the class may use the upstream.
func classUses(doc *config.Document, class, upstream string) bool {
	for _, w := range doc.Workspaces {
		if slices.Contains(w.Classes, class) && slices.Contains(w.Upstreams, upstream) {
			return true
		}
	}
	return false
}

func findUpstream(doc *config.Document, name string) (config.Upstream, error) {
	for _, u := range doc.Upstreams {
		if u.Name == name {
			return u, nil
		}
	}
	return config.Upstream{}, &FieldError{Field: "upstream", Value: name, Message: "is not configured"}
}

func findReplica(u config.Upstream, name string) (config.Replica, error) {
	for _, r := range u.Replicas {
		if r.Name == name {
			return r, nil
		}
	}
	return config.Replica{}, &FieldError{Field: "replica", Value: name, Message: "is not a replica of upstream " + u.Name}
}

func findWorkspace(doc *config.Document, name string) (config.Workspace, error) {
	for _, w := range doc.Workspaces {
		if w.Name == name {
			return w, nil
		}
	}
	return config.Workspace{}, &FieldError{Field: "workspaces", Value: name, Message: "is not configured"}
}
