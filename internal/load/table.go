package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// maxViolationLines bounds the violations that the table lists.
const maxViolationLines = 20

// WriteTable writes the report for people.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, "class\ttier\toffered\tanswered\ton target\tshare\tresent\tfirst p50\tp95\tp99\tanswer p50\tp95\tp99\t")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.3f\t%d\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t%.0f\t\n",
			c.Class, c.Tier, c.Offered, c.Answered, c.OnTarget, c.Attainment, c.Resent,
			c.FirstToken.P50, c.FirstToken.P95, c.FirstToken.P99,
			c.Answer.P50, c.Answer.P95, c.Answer.P99)
	}
	if err := table.Flush(); err != nil {
		return err
	}
	_, err := io.WriteString(w, r.summary())
	return err
}

func (r *Report) summary() string {
	var b strings.Builder
	b.WriteString("times in ms\n")
	for _, c := range r.Classes {
		for _, reason := range slices.Sorted(maps.Keys(c.Shed)) {
			fmt.Fprintf(&b, "not answered: %s: %s: %d\n", c.Class, reason, c.Shed[reason])
		}
	}
	fmt.Fprintf(&b, "demand: %.0f tokens/s\n", r.Demand)
	fmt.Fprintf(&b, "goodput: %.0f tokens/s on target over %.1f s\n", r.Goodput, r.Seconds)
	if r.WastedShare != nil {
		fmt.Fprintf(&b, "of %d tokens made: wasted %.4f, in late answers %.4f\n", r.GeneratedTokens, *r.WastedShare, *r.LateShare)
	}
	if r.UncheckedRuns > 0 {
		fmt.Fprintf(&b, "not checked: %d runs that the stand-ins no longer list\n", r.UncheckedRuns)
	}
	fmt.Fprintf(&b, "sent late by at most %.1f ms\n", r.LateMillis)
	fmt.Fprintf(&b, "violations: %d\n", len(r.Violations))
	for i, v := range r.Violations {
		if i == maxViolationLines {
			fmt.Fprintf(&b, "  and %d more\n", len(r.Violations)-i)
			break
		}
		fmt.Fprintf(&b, "  %s: %s %s\n", v.Promise, v.Request, v.Detail)
	}
	return b.String()
}
