package gateway

import (
	"testing"

	"galenatrestle/internal/refusal"
)

// TestAttainmentCountsWhatIsTheSystemsToAnswer checks that no failure of the
// system is left out of attainment, and that no fault of a caller lowers it.
func TestAttainmentCountsWhatIsTheSystemsToAnswer(t *testing.T) {
	for _, reason := range refusal.Reasons() {
		status := reason.Status()
		if status >= 500 && endOf(reason) != endRefused {
			t.Errorf("%s (%d) counts as %s", reason, status, endOf(reason))
		}
	}
	for _, reason := range []refusal.Reason{
		refusal.BadRequest, refusal.BodyTooLarge, refusal.UnknownModel, refusal.UpstreamForbidden,
		refusal.IdempotencyKeyReused, refusal.QuotaExceeded, refusal.CallerGone,
	} {
		if endOf(reason) == endRefused {
			t.Errorf("%s counts against the system", reason)
		}
	}
}
