package yamldoc

import (
	"fmt"
	"strings"
)

// MaxProblems is the most problems listed for one document.
const MaxProblems = 20

// maxValueLength is the longest offending value that is quoted, in bytes.
const maxValueLength = 80

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Line counts from 1; zero where the document has no such line.
	Line int
	// Field is the path of the field, such as "classes[0].tier".
	Field string
	// Value is the offending value as written, cut to 80 bytes.
	Value string
	// Message says what is wrong.
	Message string
}

// String returns the problem as one line for an operator.
func (p Problem) String() string {
	return fmt.Sprintf("line %d: %s: value %q: %s", p.Line, p.Field, p.Value, p.Message)
}

// InvalidError says that a document was refused and why.
type InvalidError struct {
	// Problems holds at most MaxProblems, ordered by line.
	Problems []Problem
	// More counts the problems that are not listed.
	More int
}

// Error implements error: one problem a line.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Problems)+1)
	for _, p := range e.Problems {
		lines = append(lines, p.String())
	}
	if e.More > 0 {
		lines = append(lines, fmt.Sprintf("and %d more", e.More))
	}
	return strings.Join(lines, "\n")
}

func cut(value string) string {
	if len(value) <= maxValueLength {
		return value
	}
	return strings.ToValidUTF8(value[:maxValueLength], "") + "..."
}
