package config

import (
	"cmp"
	"reflect"
	"slices"
)

// Patch leads from one canonical document to another.
type Patch struct {
	Workspaces ListPatch[Workspace] `json:"workspaces,omitzero"`
	Classes    ListPatch[Class]     `json:"classes,omitzero"`
	Upstreams  ListPatch[Upstream]  `json:"upstreams,omitzero"`
	// Limits is nil where they stay.
	Limits *Limits `json:"limits,omitempty"`
}

// ListPatch changes one list of a document.
type ListPatch[T entry] struct {
	// Put holds new and changed entries, ordered by name.
	Put []T `json:"put,omitempty"`
	// Remove holds the names of entries that go, ordered.
	Remove []string `json:"remove,omitempty"`
}

// IsZero tells whether the list stays as it is.
func (p ListPatch[T]) IsZero() bool { return len(p.Put) == 0 && len(p.Remove) == 0 }

// MakePatch returns the patch between two canonical documents.
func MakePatch(from, to *Document) Patch {
	patch := Patch{
		Workspaces: patchList(from.Workspaces, to.Workspaces),
		Classes:    patchList(from.Classes, to.Classes),
		Upstreams:  patchList(from.Upstreams, to.Upstreams),
	}
	if from.Limits != to.Limits {
		limits := to.Limits
		patch.Limits = &limits
	}
	return patch
}

// Apply returns the canonical document that the patch leads to from another,
// which stays unchanged; unchanged entries are shared.
func (p *Patch) Apply(from *Document) *Document {
	to := &Document{
		Workspaces: applyList(from.Workspaces, p.Workspaces),
		Classes:    applyList(from.Classes, p.Classes),
		Upstreams:  applyList(from.Upstreams, p.Upstreams),
		Limits:     from.Limits,
	}
	if p.Limits != nil {
		to.Limits = *p.Limits
	}
	return to
}

// patchList walks two lists ordered by name side by side.
func patchList[T entry](from, to []T) ListPatch[T] {
	var patch ListPatch[T]
	for len(from) > 0 || len(to) > 0 {
		order := compareHeads(from, to)
		switch {
		case order < 0:
			patch.Remove = append(patch.Remove, from[0].entryName())
			from = from[1:]
		case order > 0:
			patch.Put = append(patch.Put, to[0])
			to = to[1:]
		default:
			if !reflect.DeepEqual(from[0], to[0]) {
				patch.Put = append(patch.Put, to[0])
			}
			from, to = from[1:], to[1:]
		}
	}
	return patch
}

// compareHeads orders the first entries of two lists, of which one is not
// empty; an empty list's head comes last.
func compareHeads[T entry](a, b []T) int {
	switch {
	case len(b) == 0:
		return -1
	case len(a) == 0:
		return 1
	default:
		return cmp.Compare(a[0].entryName(), b[0].entryName())
	}
}

func applyList[T entry](from []T, patch ListPatch[T]) []T {
	if patch.IsZero() {
		return from
	}
	to := make([]T, 0, len(from)+len(patch.Put))
	put := patch.Put
	for _, old := range from {
		for len(put) > 0 && put[0].entryName() < old.entryName() {
			to = append(to, put[0])
			put = put[1:]
		}
		if len(put) > 0 && put[0].entryName() == old.entryName() {
			to = append(to, put[0])
			put = put[1:]
			continue
		}
		if _, gone := slices.BinarySearch(patch.Remove, old.entryName()); !gone {
			to = append(to, old)
		}
	}
	return append(to, put...)
}
