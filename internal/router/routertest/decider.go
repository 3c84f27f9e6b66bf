package routertest

import (
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// decider is the part of router.Pool used by a run.
type decider interface {
	Submit(now time.Time, request router.Request) *refusal.Error
	Decide(now time.Time) []router.Decision
	RecordFirstToken(now time.Time, id string)
	RecordTokens(now time.Time, id string, n int)
	Finish(now time.Time, id string, result router.Result)
	RecordLoad(now time.Time, replica string, load router.LoadReport)
}
