package yamldoc

import (
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// MaxBytes is the largest document, in bytes.
const MaxBytes = 16 << 20

// Source is a parsed document that finds the lines of its fields.
type Source struct {
	body ast.Node
	// places is filled when the first problem asks for a line.
	places   map[string]place
	problems []Problem
}

type place struct {
	line  int
	value string
}

// Read parses data and decodes it strictly into target, a pointer to a struct
// with yaml tags. The error is an *InvalidError.
func Read(data []byte, target any) (*Source, error) {
	if err := checkShape(data); err != nil {
		return nil, err
	}
	// The decoder finds duplicate fields, and knows their paths.
	file, err := parser.ParseBytes(data, 0, parser.AllowDuplicateMapKey())
	if err != nil {
		return nil, invalid(problemOf(nil, err))
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		message := fmt.Sprintf("want exactly one document, found %d", countBodies(file))
		return nil, invalid(Problem{Line: 1, Message: message})
	}
	body := file.Docs[0].Body
	if err := refuseAliases(body); err != nil {
		return nil, err
	}
	source := &Source{body: body}
	if err := decode(body, target); err != nil {
		return nil, invalid(problemOf(source, err))
	}
	return source, nil
}

func decode(body ast.Node, target any) error {
	err := yaml.NodeToValue(body, target, yaml.Strict())
	if errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

func countBodies(file *ast.File) int {
	count := 0
	for _, doc := range file.Docs {
		if doc.Body != nil {
			count++
		}
	}
	return count
}

// Add notes a problem of the field at path, such as "classes[0].tier". An
// empty value stands for the value as written.
func (s *Source) Add(path, value, message string) {
	found := s.find(path)
	if value == "" {
		value = found.value
	}
	s.problems = append(s.problems, Problem{
		Line: found.line, Field: path, Value: cut(value), Message: message,
	})
}

// Err returns the noted problems as an *InvalidError, or nil if there are none.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	return invalid(s.problems...)
}

// find returns the place of the field, or that of the nearest field above it
// (without its value) where the document leaves the field out.
func (s *Source) find(path string) place {
	if s.places == nil {
		s.places = placesOf(s.body)
	}
	if exact, ok := s.places[path]; ok {
		return exact
	}
	for path != "" {
		path = parentOf(path)
		if above, ok := s.places[path]; ok {
			return place{line: above.line}
		}
	}
	return place{line: 1}
}

func parentOf(path string) string {
	end := strings.LastIndexAny(path, ".[")
	if end < 0 {
		return ""
	}
	return path[:end]
}

func placesOf(body ast.Node) map[string]place {
	places := make(map[string]place)
	ast.Walk(visitor(func(node ast.Node) {
		notePlace(places, node)
	}), body)
	return places
}

func notePlace(places map[string]place, node ast.Node) {
	switch n := node.(type) {
	case *ast.MappingValueNode:
		places[fieldOf(n.Value)] = place{line: lineOf(n.Key), value: scalarOf(n.Value)}
	case *ast.SequenceNode:
		for _, entry := range n.Values {
			places[fieldOf(entry)] = place{line: lineOf(entry), value: scalarOf(entry)}
		}
	}
}

func lineOf(node ast.Node) int {
	at := node.GetToken()
	if at == nil || at.Position == nil {
		return 1
	}
	return at.Position.Line
}

// scalarOf returns the node's value as written, or "" for lists and mappings.
func scalarOf(node ast.Node) string {
	if _, scalar := node.(ast.ScalarNode); !scalar {
		return ""
	}
	return node.GetToken().Value
}

// fieldOf returns the node's path without the leading "$.".
func fieldOf(node ast.Node) string {
	return strings.TrimPrefix(strings.TrimPrefix(node.GetPath(), "$"), ".")
}

func problemOf(source *Source, err error) Problem {
	var located yaml.Error
	if !errors.As(err, &located) {
		return Problem{Line: 1, Message: err.Error()}
	}
	problem := Problem{Message: messageOf(located)}
	at := located.GetToken()
	if at == nil {
		return problem
	}
	problem.Line = at.Position.Line
	problem.Value = cut(at.Value)
	if source != nil {
		problem.Field = source.fieldAt(at)
	}
	return problem
}

func messageOf(err yaml.Error) string {
	var mismatch *yaml.TypeError
	if errors.As(err, &mismatch) {
		return fmt.Sprintf("want %s", kindName(mismatch.DstType))
	}
	return err.GetMessage()
}

func (s *Source) fieldAt(at *token.Token) string {
	field := ""
	ast.Walk(visitor(func(node ast.Node) {
		if node.GetToken() == at {
			field = fieldOf(node)
		}
	}), s.body)
	return field
}

func invalid(problems ...Problem) *InvalidError {
	slices.SortStableFunc(problems, func(a, b Problem) int { return a.Line - b.Line })
	listed := problems[:min(len(problems), MaxProblems)]
	return &InvalidError{Problems: listed, More: len(problems) - len(listed)}
}

type visitor func(ast.Node)

// Visit implements ast.Visitor.
func (v visitor) Visit(node ast.Node) ast.Visitor {
	v(node)
	return v
}
