package handover

import (
	"context"
	"encoding/json"

	"connectrpc.com/connect"

	handoverv1 "galenatrestle/internal/gen/trestle/handover/v1"
)

// NodeService answers the other nodes of this data centre: as a node that is
// armed and stopped, and as the driver that gives permits. It implements
// handoverv1connect.NodeServiceHandler.
type NodeService struct {
	gate   *Gate
	driver *Driver
}

// NewNodeService returns a NodeService.
func NewNodeService(gate *Gate, driver *Driver) *NodeService {
	return &NodeService{gate: gate, driver: driver}
}

// Arm implements the handler.
func (s *NodeService) Arm(_ context.Context, request *connect.Request[handoverv1.ArmRequest]) (*connect.Response[handoverv1.ArmResponse], error) {
	m := request.Msg
	armed := s.gate.Arm(m.GetMoveId(), setFromWire(m.GetSet()), m.GetDriver(), m.GetEpoch())
	return connect.NewResponse(&handoverv1.ArmResponse{Armed: armed}), nil
}

// Stop implements the handler.
func (s *NodeService) Stop(_ context.Context, request *connect.Request[handoverv1.StopRequest]) (*connect.Response[handoverv1.StopResponse], error) {
	m := request.Msg
	move := Move{
		ID: m.GetMoveId(), Set: setFromWire(m.GetSet()), DriverEpoch: m.GetEpoch(),
		Phase: PhaseSealed, RelayAddress: m.GetRelayAddress(),
	}
	if m.GetOpened() {
		move.Phase = PhaseOpened
	}
	inFlight, stopped := s.gate.Stop(move)
	return connect.NewResponse(&handoverv1.StopResponse{Stopped: stopped, InFlight: inFlight}), nil
}

// Vouch implements the handler.
func (s *NodeService) Vouch(context.Context, *connect.Request[handoverv1.VouchRequest]) (*connect.Response[handoverv1.VouchResponse], error) {
	moves, ok := s.gate.Vouch()
	encoded, err := json.Marshal(moves)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&handoverv1.VouchResponse{
		Vouched: ok, TermMs: s.gate.timing.Term.Milliseconds(), Moves: encoded,
	}), nil
}

// Permit implements the handler.
func (s *NodeService) Permit(_ context.Context, request *connect.Request[handoverv1.PermitRequest]) (*connect.Response[handoverv1.PermitResponse], error) {
	m := request.Msg
	permitted := s.driver.Permit(m.GetMoveId(), m.GetNode(), m.GetEpoch())
	return connect.NewResponse(&handoverv1.PermitResponse{Permitted: permitted}), nil
}
