package dispatch

import (
	"galenatrestle/internal/refusal"
	"galenatrestle/internal/router"
)

// grant is what a waiting request is woken with.
type grant struct {
	replica router.Replica
	choice  router.Choice
	refused *refusal.Error
}
