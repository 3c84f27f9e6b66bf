package dispatch

import (
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// outcome is the pool's decision on a waiting request.
type outcome struct {
	replica router.Replica
	choice  router.Choice
	refused *refusal.Error
}
