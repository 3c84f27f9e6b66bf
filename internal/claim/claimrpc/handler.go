package claimrpc

import (
	"context"
	"errors"
	"net/http"

	"connectrpc.com/connect"
	"github.com/google/uuid"

	"galenatrestle/internal/claim"
	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
	"galenatrestle/internal/gen/trestle/claim/v1/claimv1connect"
)

// Server handles forwarded claims. It is implemented by *claim.Node.
type Server interface {
	ServeBegin(ctx context.Context, request claim.BeginRequest) (claim.BeginReply, error)
	ServeFinish(ctx context.Context, request claim.FinishRequest) (claim.FinishReply, error)
}

// NewHandler returns the path and the handler to register on the peer listener.
func NewHandler(server Server, options ...connect.HandlerOption) (string, http.Handler) {
	return claimv1connect.NewClaimServiceHandler(&handler{server: server}, options...)
}

var errMalformed = errors.New("claimrpc: malformed ID or fingerprint")

type handler struct{ server Server }

// Begin implements claimv1connect.ClaimServiceHandler.
func (h *handler) Begin(ctx context.Context, request *connect.Request[claimv1.BeginRequest]) (*connect.Response[claimv1.BeginResponse], error) {
	message := request.Msg
	attempt, errAttempt := uuid.FromBytes(message.GetAttempt())
	boot, errBoot := uuid.FromBytes(message.GetBoot())
	fingerprint := claim.Fingerprint{}
	if errAttempt != nil || errBoot != nil || len(message.GetFingerprint()) != len(fingerprint) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMalformed)
	}
	copy(fingerprint[:], message.GetFingerprint())
	reply, err := h.server.ServeBegin(ctx, claim.BeginRequest{
		Key: claim.KeyFromProto(message.GetKey()), CallFingerprint: fingerprint,
		Attempt: attempt, Node: message.GetNode(), Boot: boot,
		KnownOnly: message.GetKnownOnly(),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	response := &claimv1.BeginResponse{
		Verdict:   claimv1.Verdict(reply.Verdict),
		Refusal:   string(reply.Refused),
		NotHolder: reply.NotHolder,
		Holder:    reply.Hint.Holder,

		HolderEpoch: reply.Hint.Epoch,
	}
	if reply.Verdict == claim.Recorded {
		response.Answer = claim.AnswerToProto(reply.Answer)
	}
	return connect.NewResponse(response), nil
}

// Finish implements claimv1connect.ClaimServiceHandler.
func (h *handler) Finish(ctx context.Context, request *connect.Request[claimv1.FinishRequest]) (*connect.Response[claimv1.FinishResponse], error) {
	message := request.Msg
	attempt, err := uuid.FromBytes(message.GetAttempt())
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errMalformed)
	}
	reply, err := h.server.ServeFinish(ctx, claim.FinishRequest{
		Key: claim.KeyFromProto(message.GetKey()), Attempt: attempt,
		Phase: message.GetPhase(), Answer: message.GetAnswer(),
	})
	if err != nil {
		return nil, connect.NewError(connect.CodeUnavailable, err)
	}
	return connect.NewResponse(&claimv1.FinishResponse{
		NotHolder:   reply.NotHolder,
		Holder:      reply.Hint.Holder,
		HolderEpoch: reply.Hint.Epoch,
	}), nil
}
