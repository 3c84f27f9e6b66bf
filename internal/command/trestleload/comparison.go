package trestleload

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"galenatrestle/internal/load"
	"galenatrestle/internal/load/clairvoyant"
)

// comparison lists all runs in their order.
type comparison struct {
	Runs []comparedRun `json:"runs"`
}

// comparedRun is one run beside what the clairvoyant order reaches.
type comparedRun struct {
	Setting string              `json:"setting"`
	Load    float64             `json:"load,omitempty"`
	Report  *load.Report        `json:"report"`
	Ideal   clairvoyant.Outcome `json:"clairvoyant"`
}

func (l *comparison) violations() int {
	broken := 0
	for i := range l.Runs {
		broken += len(l.Runs[i].Report.Violations)
	}
	return broken
}

const comparisonHead = "workload\tload\tsetting\truns\ttier 0\tworst\tclairv.\tp99 first\tp99 answer\tothers\tgoodput\tof clairv.\tof first\twasted\tlate\tresent\tbroken\tsent late\t"

// writeTable writes one line for each workload, load and setting, averaged
// over the seeds.
func (l *comparison) writeTable(w io.Writer, settings []string) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, comparisonHead)
	for _, group := range l.groups() {
		var first float64
		for _, setting := range settings {
			runs := group.of(setting)
			if len(runs) == 0 {
				continue
			}
			goodput := mean(runs, func(r *comparedRun) float64 { return r.Report.Goodput })
			if first == 0 {
				first = goodput
			}
			writeSetting(table, runs, goodput/first)
		}
	}
	if err := table.Flush(); err != nil {
		return err
	}
	if err := l.writeClasses(w, settings); err != nil {
		return err
	}
	_, err := io.WriteString(w, "shares and goodput are means over the runs, worst and times (ms) the worst of them\n")
	return err
}

// writeSetting writes the line of runs that differ by their seed alone.
func writeSetting(w io.Writer, runs comparedRuns, ofFirst float64) {
	highest := func(r *comparedRun) float64 { return r.top().attainment() }
	fmt.Fprintf(w, "%s\t%.2f\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.0f\t%.0f\t%.3f\t%.0f\t%.3f\t%.3f\t%.4f\t%.4f\t%.0f\t%.0f\t%.0f\t\n",
		runs[0].Report.Workload, runs[0].Load, runs[0].Setting, len(runs),
		mean(runs, highest), -worst(runs, func(r *comparedRun) float64 { return -highest(r) }),
		mean(runs, func(r *comparedRun) float64 { return r.idealTop() }),
		worst(runs, func(r *comparedRun) float64 { return r.top().firstToken }),
		worst(runs, func(r *comparedRun) float64 { return r.top().answer }),
		mean(runs, func(r *comparedRun) float64 { return r.rest().attainment() }),
		mean(runs, func(r *comparedRun) float64 { return r.Report.Goodput }),
		mean(runs, func(r *comparedRun) float64 { return r.Report.Goodput / max(1, r.Ideal.Goodput()) }), ofFirst,
		mean(runs, func(r *comparedRun) float64 { return valueOf(r.Report.WastedShare) }),
		mean(runs, func(r *comparedRun) float64 { return valueOf(r.Report.LateShare) }),
		mean(runs, func(r *comparedRun) float64 { return float64(r.top().resent + r.rest().resent) }),
		worst(runs, func(r *comparedRun) float64 { return float64(len(r.Report.Violations)) }),
		worst(runs, func(r *comparedRun) float64 { return r.Report.LateMillis }))
}

// comparedRuns are runs of one workload at one load.
type comparedRuns []*comparedRun

// groups returns the runs by workload and load, in the order of the first of
// each.
func (l *comparison) groups() []comparedRuns {
	var groups []comparedRuns
	for i := range l.Runs {
		r := &l.Runs[i]
		at := slices.IndexFunc(groups, func(g comparedRuns) bool {
			return g[0].Report.Workload == r.Report.Workload && g[0].Load == r.Load
		})
		if at < 0 {
			groups = append(groups, comparedRuns{r})
			continue
		}
		groups[at] = append(groups[at], r)
	}
	return groups
}

func (g comparedRuns) of(setting string) comparedRuns {
	var runs comparedRuns
	for _, r := range g {
		if r.Setting == setting {
			runs = append(runs, r)
		}
	}
	return runs
}

func mean(runs comparedRuns, value func(*comparedRun) float64) float64 {
	sum := 0.0
	for _, r := range runs {
		sum += value(r)
	}
	return sum / float64(len(runs))
}

func worst(runs comparedRuns, value func(*comparedRun) float64) float64 {
	most := slices.MaxFunc(runs, func(a, b *comparedRun) int { return cmp.Compare(value(a), value(b)) })
	return value(most)
}

func valueOf(share *float64) float64 {
	if share == nil {
		return 0
	}
	return *share
}
