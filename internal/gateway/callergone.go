package gateway

// callerGoneError says that a chunk could not be passed to the caller.
type callerGoneError struct {
	cause error
}

// Error implements error.
func (e *callerGoneError) Error() string { return "caller gone: " + e.cause.Error() }

// Unwrap returns the underlying error.
func (e *callerGoneError) Unwrap() error { return e.cause }
