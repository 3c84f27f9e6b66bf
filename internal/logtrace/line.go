package logtrace

import (
	"bytes"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Line is one event of a node's log.
type Line struct {
	At    time.Time
	Node  string
	Event string
	// Request is the request that it is about; empty: the process itself.
	Request string
	// Fields are the others, by name.
	Fields map[string]any
}

// parse reads one line; false: it is not an event. What stands before the JSON
// object, as some collectors add it, is skipped.
func parse(raw []byte) (Line, bool) {
	start := bytes.IndexByte(raw, '{')
	if start < 0 {
		return Line{}, false
	}
	var fields map[string]any
	if err := json.Unmarshal(raw[start:], &fields); err != nil {
		return Line{}, false
	}
	l := Line{Node: take(fields, "node"), Event: take(fields, "msg"), Request: take(fields, "request"), Fields: fields}
	at, err := time.Parse(time.RFC3339Nano, take(fields, "time"))
	if err != nil || l.Event == "" {
		return Line{}, false
	}
	delete(fields, "level")
	l.At = at
	return l, true
}

// take removes a text field and returns it.
func take(fields map[string]any, name string) string {
	text, _ := fields[name].(string)
	delete(fields, name)
	return text
}

// Details are the fields as NAME=VALUE, by name.
func (l *Line) Details() string {
	parts := make([]string, 0, len(l.Fields))
	for name, value := range l.Fields {
		parts = append(parts, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(parts)
	return strings.Join(parts, " ")
}
