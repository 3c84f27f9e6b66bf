package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
)

// errStalled is the cancel cause of a call whose upstream fell silent.
var errStalled = errors.New("no bytes within the stall timeout")

// errEarlyEnd says that a stream ended in good order but without its end mark.
var errEarlyEnd = errors.New("stream ended without its end mark")

// errTooLarge says that an answer is over its bound.
var errTooLarge = errors.New("answer over its bound")

// classify tells what is known of a call that failed after its request was
// handed over.
func classify(ctx context.Context, err error) Kind {
	switch {
	case errors.Is(context.Cause(ctx), errStalled):
		return Timeout
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return Timeout
	case ctx.Err() != nil:
		return Cancelled
	case errors.Is(err, errEarlyEnd), errors.Is(err, errTooLarge), errors.Is(err, bufio.ErrTooLong):
		return Broken
	default:
		return Crashed
	}
}

// failure returns the error of a call after its hand-over. A cause of io.EOF
// becomes io.ErrUnexpectedEOF, so that no failure is taken for a clean end.
func failure(ctx context.Context, step, peer string, err error) *Error {
	if errors.Is(err, io.EOF) {
		err = io.ErrUnexpectedEOF
	}
	return &Error{Kind: classify(ctx, err), Step: step, Peer: peer, Cause: err}
}
