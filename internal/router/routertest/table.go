package routertest

import (
	"fmt"
	"strings"
)

// Row formats the outcome as a Markdown table row for TableHeader.
func (o *Outcome) Row(s Scenario) string {
	var b strings.Builder
	fmt.Fprintf(&b, "| %s | %d | %.1f |", s.Name, s.Pools, s.Load)
	for i := range o.Classes {
		c := &o.Classes[i]
		fmt.Fprintf(&b, " %.3f |", c.Attainment())
	}
	for i := range o.Classes {
		c := &o.Classes[i]
		fmt.Fprintf(&b, " %.3f |", float64(c.Answered)/float64(max(c.Offered, 1)))
	}
	fmt.Fprintf(&b, " %.2f | %.3f | %.3f | %.2f |", o.Classes[0].LatencyQuantile(0.99), o.Goodput(), o.WastedFraction(), o.RefusedWait/float64(max(o.Refused, 1)))
	return b.String()
}

// TableHeader is the header of the table of Outcome.Row.
const TableHeader = `| policy | pools | load | quick on target | draft on target | review on target | quick answered | draft answered | review answered | quick p99 s | goodput | wasted | refused after |
|---|---|---|---|---|---|---|---|---|---|---|---|---|`
