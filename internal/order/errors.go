package order

import (
	"errors"
	"fmt"
	"time"
)

// HoldReason is the reason for not sending an order.
type HoldReason string

// Reasons for not sending an order.
const (
	ReasonNoLease     HoldReason = "no_lease"
	ReasonLeaseEnding HoldReason = "lease_ending"
	ReasonPaused      HoldReason = "paused"
	ReasonHandOver    HoldReason = "hand_over_wait"
	ReasonWeights     HoldReason = "weight_store_rate"
)

// HoldError reports that an order was not sent.
type HoldError struct {
	Reason HoldReason
	// For is the remaining time of the hold, or zero if unknown.
	For time.Duration
}

// Error implements error.
func (e *HoldError) Error() string {
	if e.For == 0 {
		return "order: not sent: " + string(e.Reason)
	}
	return fmt.Sprintf("order: not sent: %s for %s", e.Reason, e.For)
}

// ErrNoOrders reports that the engine does not support orders or reading their state.
var ErrNoOrders = errors.New("order: engine does not support orders")

// ErrFenced reports that the engine has seen a higher epoch.
var ErrFenced = errors.New("order: rejected by the engine: it has seen a higher epoch")
