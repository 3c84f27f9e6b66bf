package answerrpc

import (
	"errors"

	"connectrpc.com/connect"

	"galenatrestle/internal/answer"
	"galenatrestle/internal/refusal"
)

const step = "fetch answer"

// unknown is the refusal for every answer that cannot be told, so that it
// cannot be learnt whether another workspace has it.
func unknown(id, peer, message string, cause error) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.UnknownRequest, Outcome: refusal.Unknown,
		Field: "request id", Value: id, Message: message,
		Step: step, Peer: peer, Cause: cause,
	}
}

func badPosition(id string) *refusal.Error {
	return &refusal.Error{
		Reason: refusal.BadRequest, Outcome: refusal.Unknown,
		Field: "Last-Event-ID", Message: "the answer " + id + " has no such event",
		Step: step,
	}
}

// refuseLocal turns an error of the store into a refusal.
func refuseLocal(id string, err error) *refusal.Error {
	if errors.Is(err, answer.ErrBadPosition) {
		return badPosition(id)
	}
	return unknown(id, "", "no such answer, or its retention is over", err)
}

// toConnect turns an error of the store into the call's error.
func toConnect(err error) error {
	if errors.Is(err, answer.ErrBadPosition) {
		return connect.NewError(connect.CodeOutOfRange, err)
	}
	if errors.Is(err, answer.ErrUnknown) {
		return connect.NewError(connect.CodeNotFound, err)
	}
	return err
}

// refuseRemote turns a call's error into a refusal. begun says that a part of
// the answer came before it.
func refuseRemote(id, peer string, begun bool, err error) *refusal.Error {
	switch {
	case connect.CodeOf(err) == connect.CodeOutOfRange:
		return badPosition(id)
	case connect.CodeOf(err) == connect.CodeNotFound:
		return unknown(id, peer, "no such answer, or its retention is over", err)
	case begun:
		return &refusal.Error{
			Reason: refusal.UpstreamFailed, Outcome: refusal.Unknown,
			Message: "the node that holds the answer broke off", Step: step, Peer: peer, Cause: err,
		}
	default:
		return unknown(id, peer, "the node that held the answer cannot be reached", err)
	}
}
