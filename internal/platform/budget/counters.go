package budget

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"galenatrestle/internal/platform"
)

// The results of a call in the counters.
const (
	resultOK          = "ok"
	resultNotFound    = "not_found"
	resultConflict    = "conflict"
	resultHeld        = "held"
	resultRateLimited = "rate_limited"
	resultOverBudget  = "over_budget"
	resultTooLarge    = "too_large"
	resultUnavailable = "unavailable"
	resultOther       = "other"
)

// Counters counts calls to the platform by duty, kind and result. Duties share
// one.
type Counters struct {
	calls *prometheus.CounterVec
	reach atomic.Pointer[Reach]
}

// NewCounters registers the counters.
func NewCounters(register prometheus.Registerer) (*Counters, error) {
	calls := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "trestle_platform_calls_total",
		Help: "Calls to the platform's service by duty, kind and result.",
	}, []string{"duty", "call", "result"})
	if err := register.Register(calls); err != nil {
		return nil, err
	}
	return &Counters{calls: calls}, nil
}

// count adds one call.
func (c *Counters) count(duty string, call platform.Call, result string) {
	c.calls.WithLabelValues(duty, string(call), result).Inc()
	if result != resultOverBudget {
		c.reach.Store(&Reach{At: time.Now(), Result: result})
	}
}

// resultOf names the result of a call.
func resultOf(err error) string {
	var conflict *platform.ConflictError
	var held *platform.HeldError
	switch {
	case err == nil:
		return resultOK
	case errors.As(err, &conflict):
		return resultConflict
	case errors.As(err, &held):
		return resultHeld
	case errors.Is(err, platform.ErrNotFound):
		return resultNotFound
	case errors.Is(err, platform.ErrRateLimited):
		return resultRateLimited
	case errors.Is(err, platform.ErrTooLarge):
		return resultTooLarge
	case errors.Is(err, platform.ErrUnavailable):
		return resultUnavailable
	default:
		return resultOther
	}
}
