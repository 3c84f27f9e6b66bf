package claim

import (
	"errors"

	"galenatrestle/internal/platform"
)

// Hint says who holds a shard, as far as its teller knows. It is soft state: the
// lease decides.
type Hint struct {
	// Holder is a name as by HolderName, empty where the teller knows none.
	Holder string
	// Epoch is the lease's in that holder's term; of two hints the one with the
	// higher epoch is newer.
	Epoch int64
}

// heldBy returns the hint that an error of Acquire gives.
func heldBy(err error) Hint {
	var held *platform.HeldError
	if !errors.As(err, &held) {
		return Hint{}
	}
	return Hint{Holder: held.Current.Holder, Epoch: held.Current.Epoch}
}

// improves says whether the hint tells more than what is known. Nodes that heard
// of a holder long ago can't lead a newer hint back to it.
func (h Hint) improves(known Hint) bool {
	if h.Holder == "" {
		return false
	}
	return h.Epoch > known.Epoch || h.Epoch == known.Epoch && known.Holder == ""
}
