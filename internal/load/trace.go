package load

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"time"

	"galenatrestle/internal/config"
)

// TraceLine is one request of a recorded trace.
type TraceLine struct {
	// At is when it arrived, from the start of the trace.
	At        config.Duration `json:"at"`
	Workspace string          `json:"workspace"`
	Class     string          `json:"class"`
	Model     string          `json:"model"`
	Prompt    string          `json:"prompt"`
	// AnswerTokens is the max_tokens sent; zero: none.
	AnswerTokens int `json:"answer_tokens,omitempty"`
	// Within is the time to the whole answer for the outcome on-target.
	Within config.Duration `json:"within,omitzero"`
	// Outcome is what it must end in; see matches.
	Outcome string `json:"outcome"`
}

// Bounds of a trace.
const (
	maxTraceLine  = 4 << 20
	maxTraceLines = 1000000
	traceDrain    = time.Minute
)

// ReadTrace reads a trace, one JSON object a line, and returns it as a workload
// without rates and the requests to send. keys holds each workspace's key.
func ReadTrace(reader io.Reader, keys map[string]string) (*Workload, []Request, error) {
	builder := newTraceBuilder(keys)
	scanner := bufio.NewScanner(reader)
	scanner.Buffer(make([]byte, 64<<10), maxTraceLine)
	number := 0
	for scanner.Scan() {
		number++
		if number > maxTraceLines {
			return nil, nil, fmt.Errorf("line %d: a trace has at most %d lines", number, maxTraceLines)
		}
		if len(bytes.TrimSpace(scanner.Bytes())) == 0 {
			continue
		}
		if err := builder.add(number, scanner.Bytes()); err != nil {
			return nil, nil, fmt.Errorf("line %d: %w", number, err)
		}
	}
	if err := scanner.Err(); err != nil {
		return nil, nil, fmt.Errorf("line %d: %w", number+1, err)
	}
	if len(builder.requests) == 0 {
		return nil, nil, fmt.Errorf("the trace is empty")
	}
	slices.SortStableFunc(builder.requests, func(a, b Request) int { return cmp.Compare(a.At, b.At) })
	last := builder.requests[len(builder.requests)-1]
	builder.workload.Duration = config.Duration(last.At + time.Second)
	return builder.workload, builder.requests, nil
}

// traceBuilder turns lines into requests; each (workspace, class, model, within)
// has a stream.
type traceBuilder struct {
	keys     map[string]string
	workload *Workload
	streams  map[TraceLine]*Stream
	classes  map[string]bool
	requests []Request
}

func newTraceBuilder(keys map[string]string) *traceBuilder {
	return &traceBuilder{
		keys:     keys,
		workload: &Workload{Name: "trace", Drain: config.Duration(traceDrain)},
		streams:  make(map[TraceLine]*Stream),
		classes:  make(map[string]bool),
	}
}

func (b *traceBuilder) add(number int, data []byte) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	var line TraceLine
	if err := decoder.Decode(&line); err != nil {
		return err
	}
	if err := line.check(); err != nil {
		return err
	}
	stream, err := b.stream(line)
	if err != nil {
		return err
	}
	b.requests = append(b.requests, Request{
		Name: fmt.Sprintf("line %d", number), At: line.At.Std(), Stream: stream,
		Prompt: line.Prompt, MaxTokens: line.AnswerTokens,
		Stated: line.Outcome, Within: line.Within.Std(),
	})
	return nil
}

func (l TraceLine) check() error {
	required := []struct{ field, value string }{
		{"workspace", l.Workspace}, {"class", l.Class}, {"model", l.Model},
		{"prompt", l.Prompt}, {"outcome", l.Outcome},
	}
	for _, r := range required {
		if r.value == "" {
			return fmt.Errorf("field %s is required", r.field)
		}
	}
	if l.At < 0 || l.AnswerTokens < 0 || l.Within < 0 {
		return fmt.Errorf("fields at, answer_tokens, within: values %v, %d, %v: none may be negative", l.At, l.AnswerTokens, l.Within)
	}
	return checkStated(l.Outcome)
}

func (b *traceBuilder) stream(line TraceLine) (*Stream, error) {
	id := TraceLine{Workspace: line.Workspace, Class: line.Class, Model: line.Model}
	if stream, ok := b.streams[id]; ok {
		return stream, nil
	}
	key, ok := b.keys[line.Workspace]
	if !ok {
		return nil, fmt.Errorf("field workspace: value %q has no key", line.Workspace)
	}
	stream := &Stream{Name: line.Workspace, Workspace: line.Workspace, Key: key, Class: line.Class, Model: line.Model}
	b.streams[id] = stream
	if !b.classes[line.Class] {
		b.classes[line.Class] = true
		b.workload.Classes = append(b.workload.Classes, Class{Name: line.Class, TargetAnswer: config.Duration(traceDrain)})
	}
	return stream, nil
}
