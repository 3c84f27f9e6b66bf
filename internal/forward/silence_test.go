package forward

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/bubbletest"
	"galenatrestle/internal/eventlog"
	"galenatrestle/internal/placement"
	"galenatrestle/internal/retrybudget"
)

// Guards against reusing a connection whose idle timer fired as the response
// arrived: it may be closed while another call uses it.
func TestConnectionIsNotReusedAfterIdleTimeout(t *testing.T) {
	bubbletest.Run(t, func(t *testing.T) {
		// Without retry budget, the timer fires but does not abort the attempt.
		budget := retrybudget.New(retrybudget.Limits{Window: time.Second}, time.Time{})
		a := &attempt{placementAttempt: &placement.Attempt{}, exchange: &exchange{
			call: &Call{}, forwarder: &Forwarder{
				options: Options{Budget: budget, Log: eventlog.New(io.Discard, "test")}, metrics: newMetrics(prometheus.NewRegistry()),
			},
		}}
		if !a.stopIdleTimer() {
			t.Error("connection is not reusable without an idle timer")
		}
		a.resetIdleTimer(time.Second)
		if !a.stopIdleTimer() {
			t.Error("connection is not reusable before the idle timer fires")
		}
		a.resetIdleTimer(time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if a.stopIdleTimer() {
			t.Error("connection is reusable after the idle timer fired")
		}
		a.resetIdleTimer(0)
		if !a.stopIdleTimer() {
			t.Error("connection is not reusable after the idle timer was disabled")
		}
	})
}
