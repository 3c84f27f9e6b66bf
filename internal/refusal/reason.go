package refusal

import "net/http"

// Reason is a machine-readable error code, sent in the Trestle-Reason header and
// in the response body. Adding one changes the API contract.
type Reason string

// The reasons, grouped by the processing stage that returns them.
const (
	// Request validation.
	BadRequest             Reason = "bad_request"
	BodyTooLarge           Reason = "body_too_large"
	MissingKey             Reason = "missing_key"
	UnknownKey             Reason = "unknown_key"
	ClassForbidden         Reason = "class_forbidden"
	UnknownClass           Reason = "unknown_class"
	UnknownModel           Reason = "unknown_model"
	UnknownUpstream        Reason = "unknown_upstream"
	UpstreamForbidden      Reason = "upstream_forbidden"
	UnknownRequest         Reason = "unknown_request"
	IdempotencyKeyRequired Reason = "idempotency_key_required"
	IdempotencyKeyReused   Reason = "idempotency_key_reused"

	// Admission and queue.
	QuotaExceeded     Reason = "quota_exceeded"
	QueueFull         Reason = "queue_full"
	ShedForHigherTier Reason = "shed_for_higher_tier"
	TooLate           Reason = "too_late"
	GaveUpWaiting     Reason = "gave_up_waiting"
	Quarantined       Reason = "quarantined"
	NoReplica         Reason = "no_replica"
	ShuttingDown      Reason = "shutting_down"
	CallerGone        Reason = "caller_gone"
	NotConfigured     Reason = "not_configured"
	ClaimStoreDown    Reason = "claim_store_down"
	ClaimLedgerFull   Reason = "claim_ledger_full"
	InProgress        Reason = "in_progress"
	Moving            Reason = "moving"

	// After the request may have reached an upstream.
	UpstreamFailed   Reason = "upstream_failed"
	UpstreamTimeout  Reason = "upstream_timeout"
	UpstreamRefused  Reason = "upstream_refused"
	RetryBudgetSpent Reason = "retry_budget_spent"
	OutcomeUnknown   Reason = "outcome_unknown"
	Internal         Reason = "internal"
)

var statusByReason = map[Reason]int{
	BadRequest:             http.StatusBadRequest,
	BodyTooLarge:           http.StatusRequestEntityTooLarge,
	MissingKey:             http.StatusUnauthorized,
	UnknownKey:             http.StatusUnauthorized,
	ClassForbidden:         http.StatusForbidden,
	UnknownClass:           http.StatusBadRequest,
	UnknownModel:           http.StatusNotFound,
	UnknownUpstream:        http.StatusNotFound,
	UpstreamForbidden:      http.StatusForbidden,
	UnknownRequest:         http.StatusNotFound,
	IdempotencyKeyRequired: http.StatusBadRequest,
	IdempotencyKeyReused:   http.StatusUnprocessableEntity,
	QuotaExceeded:          http.StatusTooManyRequests,
	QueueFull:              http.StatusServiceUnavailable,
	ShedForHigherTier:      http.StatusServiceUnavailable,
	TooLate:                http.StatusServiceUnavailable,
	GaveUpWaiting:          http.StatusServiceUnavailable,
	Quarantined:            http.StatusUnprocessableEntity,
	NoReplica:              http.StatusServiceUnavailable,
	ShuttingDown:           http.StatusServiceUnavailable,
	CallerGone:             499,
	NotConfigured:          http.StatusServiceUnavailable,
	ClaimStoreDown:         http.StatusServiceUnavailable,
	ClaimLedgerFull:        http.StatusServiceUnavailable,
	InProgress:             http.StatusConflict,
	Moving:                 http.StatusServiceUnavailable,
	UpstreamFailed:         http.StatusBadGateway,
	UpstreamTimeout:        http.StatusGatewayTimeout,
	UpstreamRefused:        http.StatusServiceUnavailable,
	RetryBudgetSpent:       http.StatusBadGateway,
	OutcomeUnknown:         http.StatusConflict,
	Internal:               http.StatusInternalServerError,
}

// Status returns the HTTP status code for the reason, 500 for an unknown one.
func (r Reason) Status() int {
	status, ok := statusByReason[r]
	if !ok {
		return http.StatusInternalServerError
	}
	return status
}

// Reasons returns all reasons in no particular order.
func Reasons() []Reason {
	list := make([]Reason, 0, len(statusByReason))
	for r := range statusByReason {
		list = append(list, r)
	}
	return list
}
