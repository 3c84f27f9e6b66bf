package config

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Action is what a change does to an entry.
type Action string

// The actions.
const (
	ActionAdded   Action = "added"
	ActionRemoved Action = "removed"
	ActionChanged Action = "changed"
)

// Section is the part of a document that a change is in.
type Section string

// The sections of a document.
const (
	SectionWorkspace Section = "workspace"
	SectionClass     Section = "class"
	SectionUpstream  Section = "upstream"
	SectionLimits    Section = "limits"
)

// Change is one difference between two documents, for an operator to read.
type Change struct {
	Action  Action
	Section Section
	Name    string
	// Fields is empty for entries that were added or removed.
	Fields []FieldChange
}

// FieldChange is one field's values before and after, as JSON.
type FieldChange struct {
	Field  string
	Before string
	After  string
}

// String returns the change as one line.
func (c Change) String() string {
	line := strings.TrimSpace(fmt.Sprintf("%s %s %s", c.Action, c.Section, c.Name))
	fields := make([]string, 0, len(c.Fields))
	for _, f := range c.Fields {
		fields = append(fields, fmt.Sprintf("%s: %s -> %s", f.Field, f.Before, f.After))
	}
	if len(fields) == 0 {
		return line
	}
	return line + ": " + strings.Join(fields, ", ")
}

// Diff returns the differences between two canonical documents, ordered by
// section and name.
func Diff(from, to *Document) []Change {
	patch := MakePatch(from, to)
	changes := diffList(SectionClass, from.Classes, patch.Classes)
	changes = append(changes, diffList(SectionUpstream, from.Upstreams, patch.Upstreams)...)
	changes = append(changes, diffList(SectionWorkspace, from.Workspaces, patch.Workspaces)...)
	if patch.Limits != nil {
		fields := diffFields(from.Limits, to.Limits)
		changes = append(changes, Change{Action: ActionChanged, Section: SectionLimits, Fields: fields})
	}
	return changes
}

func diffList[T entry](section Section, from []T, patch ListPatch[T]) []Change {
	before := make(map[string]T, len(from))
	for _, old := range from {
		before[old.entryName()] = old
	}
	changes := make([]Change, 0, len(patch.Remove)+len(patch.Put))
	for _, name := range patch.Remove {
		changes = append(changes, Change{Action: ActionRemoved, Section: section, Name: name})
	}
	for _, entry := range patch.Put {
		change := Change{Action: ActionAdded, Section: section, Name: entry.entryName()}
		if old, known := before[change.Name]; known {
			change.Action = ActionChanged
			change.Fields = diffFields(old, entry)
		}
		changes = append(changes, change)
	}
	return changes
}

// diffFields compares two structs of one type field by field.
func diffFields(before, after any) []FieldChange {
	var changes []FieldChange
	a, b := reflect.ValueOf(before), reflect.ValueOf(after)
	for i := range a.NumField() {
		x, y := a.Field(i).Interface(), b.Field(i).Interface()
		if reflect.DeepEqual(x, y) {
			continue
		}
		name, _, _ := strings.Cut(a.Type().Field(i).Tag.Get("yaml"), ",")
		if replicas, ok := x.([]Replica); ok {
			changes = append(changes, diffReplicas(name, replicas, y.([]Replica))...)
			continue
		}
		changes = append(changes, FieldChange{Field: name, Before: jsonOf(x), After: jsonOf(y)})
	}
	return changes
}

// diffReplicas compares replicas by name, so that one of many shows alone.
func diffReplicas(field string, before, after []Replica) []FieldChange {
	var changes []FieldChange
	remaining := make(map[string]Replica, len(after))
	for _, replica := range after {
		remaining[replica.Name] = replica
	}
	for _, old := range before {
		now, kept := remaining[old.Name]
		delete(remaining, old.Name)
		switch {
		case !kept:
			changes = append(changes, FieldChange{Field: field, Before: jsonOf(old), After: "none"})
		case now != old:
			changes = append(changes, FieldChange{Field: field, Before: jsonOf(old), After: jsonOf(now)})
		}
	}
	for _, replica := range after {
		if _, added := remaining[replica.Name]; added {
			changes = append(changes, FieldChange{Field: field, Before: "none", After: jsonOf(replica)})
		}
	}
	return changes
}

func jsonOf(value any) string {
	data, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return string(data)
}
