package processtest

import (
	"context"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"

	"galenatrestle/internal/load"
	"galenatrestle/internal/refusal"
)

// endAllCommand is "endall PREFIX COUNT ADDRESS OUTCOME|OUTCOME": each of the
// keys is sent again, as callers are to, until it has a final outcome, which must
// be one of these: answered or unknown.
func endAllCommand(ts *testscript.TestScript, neg bool, args []string) {
	usage(ts, neg, len(args) != 4, "endall PREFIX COUNT ADDRESS answered|unknown")
	count, err := strconv.Atoi(args[1])
	ts.Check(err)
	ends := make([]load.Attempt, count)
	var all sync.WaitGroup
	for i := range ends {
		request := settleRequest(fmt.Sprintf("%s-%d", args[0], i+1))
		all.Go(func() {
			waitUntil(func() bool {
				ends[i] = of(ts).call(context.Background(), args[2], request)
				return outcome(ends[i]) != "not-run" && ends[i].Reason != string(refusal.InProgress)
			})
		})
	}
	all.Wait()
	for i, end := range ends {
		if !slices.Contains(strings.Split(args[3], "|"), outcome(end)) || end.Reason == string(refusal.InProgress) {
			ts.Fatalf("call %s-%d ends as %s, want %s", args[0], i+1, describe(end), args[3])
		}
	}
}
