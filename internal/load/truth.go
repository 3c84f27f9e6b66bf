package load

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"galenatrestle/internal/standin"
	"galenatrestle/internal/standin/runs"
)

// settleInterval is the pause between readings of lists with open runs.
const settleInterval = 100 * time.Millisecond

// Truth is what the stand-ins truly ran.
type Truth struct {
	// Tokens counts those made since the run began.
	Tokens int64
	// Open counts runs that have not ended; their tokens are not in Tokens.
	Open int64
	// byRequest counts runs by request id, byKey by idempotency key.
	byRequest map[string]int
	byKey     map[string]int
	// Dropped counts runs that the lists have lost: the checks miss those.
	Dropped int64
}

// FetchTruth reads the run lists of all stand-ins behind the base URLs.
func FetchTruth(ctx context.Context, client *http.Client, bases []string) (*Truth, error) {
	truth := &Truth{byRequest: make(map[string]int), byKey: make(map[string]int)}
	for _, base := range bases {
		var names standin.Names
		if err := fetchJSON(ctx, client, base+"/standin", &names); err != nil {
			return nil, err
		}
		for _, name := range names.Standins {
			var report runs.Report
			if err := fetchJSON(ctx, client, base+"/standin/"+name+"/runs", &report); err != nil {
				return nil, err
			}
			truth.add(report)
		}
	}
	return truth, nil
}

// FetchSettledTruth reads the lists until nothing is open any more, for at most
// patience: engines learn a moment later that a caller is gone.
func FetchSettledTruth(ctx context.Context, client *http.Client, bases []string, patience time.Duration) (*Truth, error) {
	until := time.Now().Add(patience)
	for {
		truth, err := FetchTruth(ctx, client, bases)
		if err != nil || truth.Open == 0 || time.Now().After(until) {
			return truth, err
		}
		if !sleepUntil(ctx, time.Now().Add(settleInterval)) {
			return truth, nil
		}
	}
}

func (t *Truth) add(report runs.Report) {
	t.Tokens += report.Totals.Tokens
	t.Dropped += report.Dropped
	ended := report.Totals.Completed + report.Totals.Cancelled + report.Totals.Crashed
	t.Open += report.Totals.Begun - ended
	for _, run := range report.Runs {
		if run.IdempotencyKey != "" {
			t.byKey[run.IdempotencyKey]++
		}
		t.byRequest[CallersID(run.RequestID)]++
	}
}

// CallersID returns the request id as callers know it: an engine attempt is
// named by it, a dot and the attempt's number. Ids of service calls have no
// number, and end in a part that is none.
func CallersID(attempt string) string {
	dot := strings.LastIndexByte(attempt, '.')
	if dot < 0 {
		return attempt
	}
	if _, err := strconv.Atoi(attempt[dot+1:]); err != nil {
		return attempt
	}
	return attempt[:dot]
}

// Since takes off what an earlier reading already had.
func (t *Truth) Since(earlier *Truth) {
	t.Tokens -= earlier.Tokens
	t.Dropped -= earlier.Dropped
}

func (t *Truth) violations(results []*Result) []Violation {
	var list []Violation
	for _, result := range results {
		for _, id := range result.NotRun {
			if t.byRequest[id] > 0 {
				detail := fmt.Sprintf("request id %s was said to be not run and has %d runs", id, t.byRequest[id])
				list = append(list, Violation{Promise: promiseNotRun, Request: result.Request.Name, Detail: detail})
			}
		}
		key := result.Request.IdempotencyKey
		if count := t.byKey[key]; key != "" && count > 1 {
			detail := fmt.Sprintf("idempotency key %s ran %d times", key, count)
			list = append(list, Violation{Promise: promiseOnce, Request: result.Request.Name, Detail: detail})
		}
	}
	return list
}

func fetchJSON(ctx context.Context, client *http.Client, url string, into any) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := client.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("GET %s: %s", url, response.Status)
	}
	return json.NewDecoder(response.Body).Decode(into)
}
