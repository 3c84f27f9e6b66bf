package routertest

import (
	"time"

	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// decider is the part of router.Pool that a run drives.
type decider interface {
	Submit(now time.Time, request router.Request) *refusal.Error
	Next(now time.Time) []router.Event
	FirstToken(now time.Time, id string)
	Tokens(now time.Time, id string, n int)
	Finish(now time.Time, id string, result router.Result)
	Report(now time.Time, replica string, load router.Load)
}
