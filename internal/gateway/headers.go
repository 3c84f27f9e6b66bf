package gateway

// Request headers.
const (
	headerClass          = "Trestle-Class"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Trestle-Timeout"
)

// Response headers.
const (
	headerRequestID  = "Trestle-Request-Id"
	headerUpstream   = "Trestle-Upstream"
	headerAttempts   = "Trestle-Attempts"
	headerOutcome    = "Trestle-Outcome"
	headerReason     = "Trestle-Reason"
	headerRetryAfter = "Retry-After"
	headerType       = "Content-Type"
)

const (
	typeJSON        = "application/json"
	typeEventStream = "text/event-stream"
)
