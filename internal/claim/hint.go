package claim

import (
	"errors"

	"galenatrestle/internal/platform"
)

// Hint names the last known holder of a shard. It may be stale; the lease is
// authoritative.
type Hint struct {
	// Holder is a name in the format of HolderName; empty if unknown.
	Holder string
	// Epoch is the lease epoch of that holder; the hint with the higher epoch is newer.
	Epoch int64
}

// hintFromError returns the holder named in an error of Leases.Acquire.
func hintFromError(err error) Hint {
	var held *platform.HeldError
	if !errors.As(err, &held) {
		return Hint{}
	}
	return Hint{Holder: held.Current.Holder, Epoch: held.Current.Epoch}
}

// supersedes reports whether the hint is newer than the known one. Older hints are
// ignored, so that a node with stale information cannot undo a newer hint.
func (h Hint) supersedes(known Hint) bool {
	if h.Holder == "" {
		return false
	}
	return h.Epoch > known.Epoch || h.Epoch == known.Epoch && known.Holder == ""
}
