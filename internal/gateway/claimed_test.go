package gateway

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/config"
	"galenatrestle/internal/refusal"
)

// TestWriteReplay answers a repeat with the answer, and with the status alone where
// the answer is no longer kept.
func TestWriteReplay(t *testing.T) {
	cases := map[string]struct {
		answer  claim.Answer
		dropped string
	}{
		"kept":    {claim.Answer{Status: 201, Header: http.Header{"Content-Type": {"text/plain"}}, Body: []byte("done")}, ""},
		"dropped": {claim.Answer{Status: 201, BodyDropped: true}, "true"},
	}
	for name, test := range cases {
		recorder := httptest.NewRecorder()
		writeReplay(recorder, "member-ledger", test.answer)
		got := recorder.Result()
		if got.StatusCode != 201 || recorder.Body.String() != string(test.answer.Body) {
			t.Errorf("%s: got %d %q", name, got.StatusCode, recorder.Body)
		}
		if got.Header.Get(headerReplay) != "true" || got.Header.Get(headerBodyDropped) != test.dropped {
			t.Errorf("%s: got header %v", name, got.Header)
		}
	}
}

// TestNoLedgerIsUnknown does not say not-run of a key that another node may
// have run.
func TestNoLedgerIsUnknown(t *testing.T) {
	_, err := noLedger{}.Begin(t.Context(), claim.Key{}, claim.Fingerprint{})
	if got := refusal.From(err); got.Outcome != refusal.Unknown || got.Reason != refusal.ClaimStoreDown {
		t.Errorf("got %v", got)
	}
}

// Guards against calls that are claimed when their caller's time is over, and then end with an unknown
// outcome.
func TestClaimLeavesHalfOfTheTime(t *testing.T) {
	for _, test := range []struct{ target, left, want time.Duration }{
		{time.Second, time.Minute, minClaimWait},
		{10 * time.Second, time.Minute, 5 * time.Second},
		{time.Minute, time.Minute, maxClaimWait},
		{10 * time.Second, 5 * time.Second, 2500 * time.Millisecond},
		{time.Second, time.Second, 500 * time.Millisecond},
	} {
		class := &config.Class{TargetAnswer: config.Duration(test.target)}
		if got := claimWait(class, test.left); got != test.want {
			t.Errorf("target %s, %s left: waits for %s, want %s", test.target, test.left, got, test.want)
		}
	}
}
