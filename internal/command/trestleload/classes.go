package trestleload

import (
	"fmt"
	"io"
	"text/tabwriter"

	"galenatrestle/internal/load"
)

const classesHead = "workload\tload\tsetting\tclass\ttier\ton target\tworst\tclairv.\tanswered\tp99 first\tp99 answer\tresent\t"

// writeClasses writes one line for each class of each line of the table above.
func (l *comparison) writeClasses(w io.Writer, settings []string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, classesHead)
	for _, group := range l.groups() {
		for _, setting := range settings {
			runs := group.of(setting)
			for class := range group[0].Report.Classes {
				if len(runs) > 0 {
					writeClass(table, runs, class)
				}
			}
		}
	}
	return table.Flush()
}

// writeClass writes the line of a class, given by its place.
func writeClass(w io.Writer, runs comparedRuns, class int) {
	of := func(value func(load.ClassReport) float64) func(*comparedRun) float64 {
		return func(r *comparedRun) float64 { return value(r.Report.Classes[class]) }
	}
	first := runs[0].Report.Classes[class]
	fmt.Fprintf(w, "%s\t%.2f\t%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.0f\t\n",
		runs[0].Report.Workload, runs[0].Load, runs[0].Setting, first.Class, first.Tier,
		mean(runs, of(func(c load.ClassReport) float64 { return c.Attainment })),
		-worst(runs, of(func(c load.ClassReport) float64 { return -c.Attainment })),
		mean(runs, func(r *comparedRun) float64 { return ratio(r.Ideal.OnTarget[class], r.Ideal.Offered[class]) }),
		mean(runs, of(func(c load.ClassReport) float64 { return ratio(c.Answered, c.Offered) })),
		worst(runs, of(func(c load.ClassReport) float64 { return c.FirstToken.P99 })),
		worst(runs, of(func(c load.ClassReport) float64 { return c.Answer.P99 })),
		mean(runs, of(func(c load.ClassReport) float64 { return float64(c.Resent) })))
}

// ratio is 1 where there is nothing to divide by.
func ratio(part, whole int) float64 {
	if whole == 0 {
		return 1
	}
	return float64(part) / float64(whole)
}
