package configsync

import (
	"context"

	"connectrpc.com/connect"

	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
	"galenatrestle/internal/gen/trestle/configsync/v1/configsyncv1connect"
)

var _ configsyncv1connect.ConfigSyncServiceHandler = (*Handler)(nil)

// Handler answers other nodes' calls.
type Handler struct {
	syncer *Syncer
}

// NewHandler returns the handler to mount on the peers' listener.
func NewHandler(syncer *Syncer) *Handler { return &Handler{syncer: syncer} }

// Pull implements the service.
func (h *Handler) Pull(_ context.Context, request *connect.Request[configsyncv1.PullRequest]) (*connect.Response[configsyncv1.PullResponse], error) {
	response, err := h.syncer.AnswerPull(request.Msg)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(response), nil
}

// Notify implements the service.
func (h *Handler) Notify(_ context.Context, request *connect.Request[configsyncv1.NotifyRequest]) (*connect.Response[configsyncv1.NotifyResponse], error) {
	return connect.NewResponse(h.syncer.AnswerNotify(request.Msg)), nil
}

// AnswerPull returns what is newer than the asker's revision: deltas where
// they are kept, else the whole document.
func (s *Syncer) AnswerPull(request *configsyncv1.PullRequest) (*configsyncv1.PullResponse, error) {
	state := s.current.State()
	if state.Revision() < request.GetHaveRevision() {
		s.wakeForSender(request.GetSender())
	}
	if state.Revision() <= request.GetHaveRevision() {
		newest := &configsyncv1.Revision{Revision: state.Revision()}
		if state.Revision() == request.GetHaveRevision() {
			newest.WriteId = state.id()
		}
		return &configsyncv1.PullResponse{Newest: newest}, nil
	}
	response := &configsyncv1.PullResponse{Newest: state.wire()}
	response.Deltas = s.deltas.since(request.GetHaveRevision(), state.Revision())
	if response.Deltas != nil {
		return response, nil
	}
	document, err := state.document()
	if err != nil {
		return nil, err
	}
	response.Document = document
	return response, nil
}

// AnswerNotify applies the notice's deltas, or has the sender asked for the
// rest. It returns the revision in force afterwards.
func (s *Syncer) AnswerNotify(request *configsyncv1.NotifyRequest) *configsyncv1.NotifyResponse {
	if s.takeNotice(request) {
		s.wake(forwardWake)
	} else if request.GetNewest().GetRevision() > s.current.Revision() {
		s.wake(request.GetSenderAddress())
	}
	return &configsyncv1.NotifyResponse{Revision: s.current.Revision()}
}

// wakeForSender has the exchange loop pull from a member that is ahead.
func (s *Syncer) wakeForSender(name string) {
	for _, member := range s.view.Members() {
		if member.Name == name {
			s.wake(member.PeerAddress)
			return
		}
	}
}

// wake has the exchange loop pull from an address, or forward. Where it is due
// to already, what that misses the next exchange finds.
func (s *Syncer) wake(address string) {
	select {
	case s.heard <- address:
	default:
	}
}

func (s *Syncer) takeNotice(request *configsyncv1.NotifyRequest) bool {
	s.applying.Lock()
	defer s.applying.Unlock()
	if !s.isNews(request.GetNewest(), sourceNotice) {
		return false
	}
	return s.applyDeltas(request.GetDeltas(), sourceNotice)
}
