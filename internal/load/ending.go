package load

// Ending is how one try at a request ended, as its caller saw it.
type Ending string

// The endings.
const (
	// EndingWhole is a clean end of an answer.
	EndingWhole Ending = "whole"
	// EndingRefused is a status other than 2xx.
	EndingRefused Ending = "refused"
	// EndingError is an error event in a stream.
	EndingError Ending = "error-event"
	// EndingAborted is a broken connection.
	EndingAborted Ending = "aborted"
	// EndingTruncated is a stream that ended cleanly without [DONE]: a broken
	// promise.
	EndingTruncated Ending = "truncated"
	// EndingGaveUp is a connection that the caller closed.
	EndingGaveUp Ending = "gave-up"
)
