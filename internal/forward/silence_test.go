package forward

import (
	"testing"
	"testing/synctest"
	"time"

	"galenatrestle/internal/retrybudget"
)

// TestAConnectionWhoseTimeIsUpIsNotKept ends the patience at the moment at which the
// answer has come: the connection may be closed while another call uses it.
func TestAConnectionWhoseTimeIsUpIsNotKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		// A spent budget: the attempt is not ended, but its timer has run.
		budget := retrybudget.New(retrybudget.Limits{Window: time.Second})
		a := &attempt{exchange: &exchange{
			call: &Call{}, forwarder: &Forwarder{options: Options{Budget: budget}},
		}}
		if !a.stopSilence() {
			t.Error("an attempt without a patience is not safe")
		}
		a.startSilence(time.Second)
		if !a.stopSilence() {
			t.Error("an attempt in time is not safe")
		}
		a.startSilence(time.Second)
		time.Sleep(2 * time.Second)
		synctest.Wait()
		if a.stopSilence() {
			t.Error("an attempt whose time was up is safe")
		}
		a.startSilence(0)
		if !a.stopSilence() {
			t.Error("an attempt that is not timed any more is not safe")
		}
	})
}
