package trestlectl

import (
	"fmt"
	"strings"
	"text/tabwriter"
)

// columnGap is the least space between two columns.
const columnGap = 2

// table prints rows in columns; "-" stands for an empty cell.
type table struct{ writer *tabwriter.Writer }

func (c *console) table(titles ...any) *table {
	t := &table{writer: tabwriter.NewWriter(c.out, 0, 0, columnGap, ' ', 0)}
	t.row(titles...)
	return t
}

func (t *table) row(cells ...any) {
	texts := make([]string, 0, len(cells))
	for _, cell := range cells {
		text := fmt.Sprint(cell)
		if text == "" {
			text = "-"
		}
		texts = append(texts, text)
	}
	fmt.Fprintln(t.writer, strings.Join(texts, "\t"))
}

func (t *table) flush() { _ = t.writer.Flush() }
