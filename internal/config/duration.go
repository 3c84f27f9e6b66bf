package config

import (
	"fmt"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
)

// Duration is a time.Duration written as a Go duration string such as "1.5s".
type Duration time.Duration

// Std returns the duration as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// String implements fmt.Stringer.
func (d Duration) String() string { return time.Duration(d).String() }

// UnmarshalText reads a Go duration string.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("value %q is not a duration such as 1.5s", text)
	}
	*d = Duration(parsed)
	return nil
}

// UnmarshalYAML reads a Go duration string, quoted or plain; its error knows
// the line.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	at := node.GetToken()
	if err := d.UnmarshalText([]byte(at.Value)); err != nil {
		return &yaml.SyntaxError{Message: "is not a duration such as 1.5s", Token: at}
	}
	return nil
}

// MarshalText writes a Go duration string.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(d.String()), nil
}

// MarshalYAML writes a Go duration string.
func (d Duration) MarshalYAML() (any, error) { return d.String(), nil }
