package configsync

import (
	"errors"
	"fmt"
)

// ErrUnknownOutcome says that no answer came for a write and that reading it
// back failed as well: the configuration may be accepted or not.
var ErrUnknownOutcome = errors.New("outcome of the write is unknown")

// ErrNoSuchProposal says that no proposal of the id is kept.
var ErrNoSuchProposal = errors.New("no such proposal")

// ErrNoSuchRevision says that the revision is not kept.
var ErrNoSuchRevision = errors.New("no such revision")

// StaleError says that another configuration was accepted since the proposal's
// base. Nothing was changed.
type StaleError struct {
	Base int64
	// Newest is what was accepted instead: it tells who and what.
	Newest Record
}

// Error implements error.
func (e *StaleError) Error() string {
	return fmt.Sprintf("stale: worked out on revision %d, but %s changed it to revision %d at %s: %s",
		e.Base, e.Newest.Author, e.Newest.Revision, e.Newest.Accepted.UTC().Format("15:04:05.000"), e.Newest.Summary)
}

// BehindError says that the platform holds an older configuration than nodes
// have in force, as after its restoration from a backup. Nothing is accepted
// until it is above, or an operator proposes on top of what is in force.
type BehindError struct {
	// Platform is the revision that the platform holds.
	Platform int64
	// Known is the highest revision in force at a known node.
	Known int64
}

// Error implements error.
func (e *BehindError) Error() string {
	return fmt.Sprintf("the platform holds revision %d, but revision %d is in force: it was restored or lost writes", e.Platform, e.Known)
}

// FullError says that too many proposals are open.
type FullError struct {
	Open int
}

// Error implements error.
func (e *FullError) Error() string {
	return fmt.Sprintf("%d proposals are open, the most that are kept: abandon some", e.Open)
}

// TooLargeError says that a document does not fit the store.
type TooLargeError struct {
	Bytes int
}

// Error implements error.
func (e *TooLargeError) Error() string {
	return fmt.Sprintf("the document has %d bytes when packed, more than %d", e.Bytes, maxPackedBytes)
}

// SumError says that a document is not the one that its record names.
type SumError struct {
	Revision  int64
	Got, Want string
}

// Error implements error.
func (e *SumError) Error() string {
	return fmt.Sprintf("revision %d has the sum %s, not %s", e.Revision, e.Got, e.Want)
}

// AcceptedError says that a proposal is accepted and can't be abandoned: only
// a further revision changes it.
type AcceptedError struct {
	Record Record
}

// Error implements error.
func (e *AcceptedError) Error() string {
	return fmt.Sprintf("accepted as revision %d at %s", e.Record.Revision, e.Record.Accepted.UTC().Format("15:04:05.000"))
}
