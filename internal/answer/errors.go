package answer

import "errors"

var (
	// ErrStale says that an event came late, twice or from an attempt that
	// lost. It was dropped, which is no harm.
	ErrStale = errors.New("answer: event of a late, doubled or losing attempt")
	// ErrEnded says that the answer has its end already.
	ErrEnded = errors.New("answer: already ended")
	// ErrTooLarge says that the answer is over Options.MaxAnswerBytes, or that
	// too many events wait for an earlier one.
	ErrTooLarge = errors.New("answer: too large")
	// ErrFull says that the store is full of answers which may not be evicted.
	ErrFull = errors.New("answer: store is full")
	// ErrUnknown says that there is no such answer, or none of that workspace.
	ErrUnknown = errors.New("answer: unknown request")
	// ErrBadPosition says that a reader asked for events after one that does
	// not exist.
	ErrBadPosition = errors.New("answer: no such event")
)
