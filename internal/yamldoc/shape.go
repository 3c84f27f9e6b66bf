package yamldoc

import (
	"fmt"
	"reflect"

	"github.com/goccy/go-yaml/ast"
)

// MaxDepth is the deepest nesting of a document. The YAML parser recurses, so
// that the bound is checked before it runs.
const MaxDepth = 64

// checkShape refuses a document that is too large or nested too deeply, by a
// bound that every document of a sane shape keeps: brackets in flow style on
// one hand, indentation and list dashes at a line's start on the other.
func checkShape(data []byte) error {
	if len(data) > MaxBytes {
		message := fmt.Sprintf("the document has %d bytes, more than %d", len(data), MaxBytes)
		return invalid(Problem{Line: 1, Message: message})
	}
	line := 1
	open := 0
	lead := 0
	atStart := true
	for _, c := range data {
		switch {
		case c == '\n':
			line++
			atStart = true
			lead = 0
		case c == '[' || c == '{':
			open++
			atStart = false
		case (c == ']' || c == '}') && open > 0:
			open--
		case c == '-' || c == '?' || c == ':':
			lead += boolToInt(atStart)
		case c != ' ' && c != '\t':
			atStart = false
		}
		if open > MaxDepth || lead > MaxDepth {
			return invalid(Problem{Line: line, Message: fmt.Sprintf("nested more than %d deep", MaxDepth)})
		}
	}
	return nil
}

func boolToInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// refuseAliases keeps a small document from standing for a huge one.
func refuseAliases(body ast.Node) error {
	var found *Problem
	ast.Walk(visitor(func(node ast.Node) {
		switch node.Type() {
		case ast.AnchorType, ast.AliasType, ast.MergeKeyType, ast.TagType:
			at := node.GetToken()
			found = &Problem{
				Line: at.Position.Line, Field: fieldOf(node), Value: cut(at.Value),
				Message: "anchors, aliases, merge keys and tags are not taken",
			}
		}
	}), body)
	if found == nil {
		return nil
	}
	return invalid(*found)
}

// kindName returns a type's name for an operator.
func kindName(t reflect.Type) string {
	switch t.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Int, reflect.Int64:
		return "a whole number"
	case reflect.Float64:
		return "a number"
	case reflect.Slice:
		return "a list"
	default:
		return "a mapping"
	}
}
