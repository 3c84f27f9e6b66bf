package order

import (
	"errors"
	"fmt"
	"time"
)

// HoldReason says why an order is held back.
type HoldReason string

// The reasons to hold an order back.
const (
	ReasonNoLease     HoldReason = "no_lease"
	ReasonLeaseEnding HoldReason = "lease_ending"
	ReasonPaused      HoldReason = "paused"
	ReasonHandOver    HoldReason = "hand_over_wait"
	ReasonWeights     HoldReason = "weight_store_rate"
)

// HoldError says that an order did not leave.
type HoldError struct {
	Reason HoldReason
	// For is how long the reason will last, where that is known.
	For time.Duration
}

// Error implements error.
func (e *HoldError) Error() string {
	if e.For == 0 {
		return "order: held back: " + string(e.Reason)
	}
	return fmt.Sprintf("order: held back: %s for %s", e.Reason, e.For)
}

// ErrNoOrders says that the engine takes no orders and does not tell its state.
var ErrNoOrders = errors.New("order: the engine takes no orders")

// ErrFenced says that the engine has seen a higher epoch.
var ErrFenced = errors.New("order: refused by the engine: its epoch is higher")
