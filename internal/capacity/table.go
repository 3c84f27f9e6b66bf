package capacity

import (
	"fmt"
	"io"
	"strings"
)

// WriteTable writes the slopes as a table in Markdown: the line, its residual,
// the sizes it was measured at, and the value at the fleet's size.
func WriteTable(w io.Writer, slopes []Slope) error {
	rows := []string{
		"| role | quantity | line | residual | measured at | at | value |",
		"|---|---|---|---|---|---|---|",
	}
	for _, s := range slopes {
		rows = append(rows, row(s))
	}
	_, err := io.WriteString(w, strings.Join(rows, "\n")+"\n")
	return err
}

func row(s Slope) string {
	against := s.Against
	if s.Line.Scale == Log2 {
		against = "log2(" + against + ")"
	}
	line := fmt.Sprintf("%s + %s x %s", Quantity(s.Line.Intercept, s.Unit), Quantity(s.Line.Slope, s.Unit), against)
	return fmt.Sprintf("| %s | %s | %s | %.1f%% | %s | %.4g | %s |",
		s.Role, s.Quantity, line, 100*s.Line.Residual, measuredAt(s), s.Target, Quantity(s.AtTarget(), s.Unit))
}

func measuredAt(s Slope) string {
	sizes := make([]string, 0, len(s.Points))
	for _, p := range s.Points {
		sizes = append(sizes, fmt.Sprintf("%.0f: %s", p.Size, Quantity(p.Value, s.Unit)))
	}
	return strings.Join(sizes, ", ")
}

// prefixes of units, the largest first.
var prefixes = []struct {
	factor float64
	text   string
}{{1e9, "G"}, {1e6, "M"}, {1e3, "k"}, {1, ""}, {1e-3, "m"}, {1e-6, "u"}, {1e-9, "n"}}

// Quantity returns the value with its unit, in three digits.
func Quantity(value float64, unit string) string {
	size := max(value, -value)
	if unit == "1/s" || size == 0 {
		return fmt.Sprintf("%.3g %s", value, unit)
	}
	for _, p := range prefixes {
		if size >= p.factor {
			return fmt.Sprintf("%.3g %s%s", value/p.factor, p.text, unit)
		}
	}
	return fmt.Sprintf("%.3g %s", value, unit)
}
