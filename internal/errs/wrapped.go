package errs

import (
	"errors"

	"github.com/joomcode/errorx"
)

// wrapped is an errorx error whose cause stays visible to errors.Is and
// errors.As: errorx hides the cause of every typed wrap.
type wrapped struct {
	typed *errorx.Error
	cause error
}

// Error implements error: step, properties and cause.
func (w *wrapped) Error() string { return w.typed.Error() }

// Unwrap returns the typed error, which carries the step and the peer.
func (w *wrapped) Unwrap() error { return w.typed }

// Is reports whether the cause is target.
func (w *wrapped) Is(target error) bool { return errors.Is(w.cause, target) }

// As finds a type in the cause; the typed error itself is found by Unwrap.
func (w *wrapped) As(target any) bool {
	if _, ok := target.(**errorx.Error); ok {
		return false
	}
	return errors.As(w.cause, target)
}
