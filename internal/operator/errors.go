package operator

import (
	"errors"

	"connectrpc.com/connect"

	"galenatrestle/internal/configsync"
	"galenatrestle/internal/intent"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/readback"
	"galenatrestle/internal/yamldoc"
)

// ErrUnknownPlan says that no planner keeps a plan of the id.
var ErrUnknownPlan = errors.New("no such plan")

// ErrUnknownKind says that no planner takes the kind of intent.
var ErrUnknownKind = errors.New("no such kind of intent")

// toConnect gives an error the code that the command line's exit code follows.
func toConnect(err error) error {
	if err == nil {
		return nil
	}
	return connect.NewError(codeOf(err), err)
}

func codeOf(err error) connect.Code {
	switch {
	case isAny[*yamldoc.InvalidError](err), isAny[*intent.FieldError](err), errors.Is(err, ErrUnknownKind):
		return connect.CodeInvalidArgument
	case isAny[*configsync.StaleError](err), isAny[*intent.StaleError](err):
		return connect.CodeAborted
	case isAny[*configsync.BehindError](err), isAny[*configsync.AcceptedError](err),
		isAny[*intent.RiskError](err), isAny[*intent.StateError](err):
		return connect.CodeFailedPrecondition
	case isAny[*configsync.FullError](err), isAny[*configsync.TooLargeError](err), errors.Is(err, intent.ErrTooManyActive):
		return connect.CodeResourceExhausted
	case errors.Is(err, configsync.ErrNoSuchProposal), errors.Is(err, configsync.ErrNoSuchRevision),
		errors.Is(err, intent.ErrUnknownPlan), errors.Is(err, ErrUnknownPlan):
		return connect.CodeNotFound
	case errors.Is(err, configsync.ErrUnknownOutcome), errors.Is(err, readback.ErrNotKnown):
		return connect.CodeUnknown
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrRateLimited):
		return connect.CodeUnavailable
	default:
		return connect.CodeInternal
	}
}

func isAny[E error](err error) bool {
	var target E
	return errors.As(err, &target)
}
