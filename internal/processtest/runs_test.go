package processtest

import (
	"encoding/json"
	"fmt"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"galenatrestle/internal/load"
	"galenatrestle/internal/standin/runs"
)

// checkRunsCommand is "checkruns MIN": it compares all that the script's callers
// were told with what the running stand-ins ran. No key ran twice, what was said
// to be not run was not run, what was answered ran, and at least MIN keys ran.
func checkRunsCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 1, "checkruns MIN")
	atLeast, err := strconv.Atoi(args[0])
	ts.Check(err)
	d := of(ts)
	byRequest, byKey := make(map[string]int), make(map[string]int)
	for _, o := range append(append([]outside{}, d.engines...), d.services...) {
		for _, run := range d.runsOf(ts, o) {
			byRequest[run.RequestID]++
			if run.IdempotencyKey != "" {
				byKey[run.IdempotencyKey]++
			}
		}
	}
	wrong := d.compare(byRequest, byKey)
	if len(byKey) < atLeast {
		wrong = append(wrong, fmt.Sprintf("only %d keys ran, want %d or more", len(byKey), atLeast))
	}
	if len(wrong) > 0 {
		ts.Fatalf("%s", strings.Join(wrong, "\n"))
	}
	ts.Logf("%d keys ran once; outcomes %v", len(byKey), d.outcomes())
}

// runsOf reads the list of a stand-in; one that does not run has none.
func (d *deployment) runsOf(ts *testscript.TestScript, o outside) []runs.Run {
	if !d.find(ts, o.Name).running() {
		return nil
	}
	body, found := strings.CutPrefix(d.look("http://"+o.Ops+"/standin/"+o.Name+"/runs"), "200 ")
	var report runs.Report
	if err := json.Unmarshal([]byte(body), &report); !found || err != nil || report.Dropped > 0 {
		ts.Fatalf("runs of %s: %v, %d dropped: %s", o.Name, err, report.Dropped, body)
	}
	return report.Runs
}

// compare returns what is wrong.
func (d *deployment) compare(byRequest, byKey map[string]int) []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var wrong []string
	for key, times := range byKey {
		if times > 1 {
			wrong = append(wrong, fmt.Sprintf("%s ran %d times", key, times))
		}
	}
	for _, t := range d.told {
		switch {
		case t.attempt.Outcome == "not-run" && t.attempt.RequestID == "":
			wrong = append(wrong, "a refusal without a request id: "+describe(t.attempt))
		case t.attempt.Outcome == "not-run" && byRequest[t.attempt.RequestID] > 0:
			wrong = append(wrong, "said to be not run, yet it ran: "+describe(t.attempt))
		case t.attempt.Ending == load.EndingWhole && t.key != "" && byKey[t.key] == 0:
			wrong = append(wrong, t.key+" was answered and did not run: "+describe(t.attempt))
		}
	}
	return wrong
}

// outcomes counts what the callers of unrepeatable calls were told.
func (d *deployment) outcomes() map[string]int {
	d.mu.Lock()
	defer d.mu.Unlock()
	counts := make(map[string]int)
	for _, t := range d.told {
		if t.key != "" {
			counts[strings.TrimSuffix(outcome(t.attempt)+"/"+t.attempt.Reason, "/")]++
		}
	}
	return counts
}
