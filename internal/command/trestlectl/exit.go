package trestlectl

import (
	"errors"
	"fmt"
	"syscall"

	"connectrpc.com/connect"

	"galenatrestle/internal/yamldoc"
)

// The exit codes.
const (
	exitDone        = 0
	exitFailed      = 1
	exitUsage       = 2
	exitStale       = 3
	exitUnknown     = 4
	exitUnavailable = 5
	exitDenied      = 6
)

func exitCode(err error) int {
	var invalid *yamldoc.InvalidError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &invalid):
		return exitUsage
	}
	var failed *connect.Error
	if !errors.As(err, &failed) {
		return exitFailed
	}
	switch failed.Code() {
	case connect.CodeInvalidArgument:
		return exitUsage
	case connect.CodeAborted:
		return exitStale
	case connect.CodeUnknown, connect.CodeDeadlineExceeded, connect.CodeCanceled:
		return exitUnknown
	case connect.CodeUnavailable:
		return exitUnavailable
	case connect.CodeUnauthenticated:
		return exitDenied
	default:
		return exitFailed
	}
}

// withoutAnswer turns the failure of a confirmation that no answer came to into
// one of unknown outcome, except where no connection was made.
func withoutAnswer(err error) error {
	if connect.IsWireError(err) || errors.Is(err, syscall.ECONNREFUSED) {
		return err
	}
	return connect.NewError(connect.CodeUnknown, fmt.Errorf("no answer came, the plan may be accepted or not: %w", err))
}

// message leaves out connect's code, which the exit code tells already.
func message(err error) string {
	var failed *connect.Error
	if errors.As(err, &failed) && failed.Message() != "" {
		return failed.Message()
	}
	return err.Error()
}
