package operator

import (
	"context"
	"errors"

	"connectrpc.com/connect"

	"galenatrestle/internal/config"
	"galenatrestle/internal/configsync"
	operatorv1 "galenatrestle/internal/gen/trestle/operator/v1"
	"galenatrestle/internal/yamldoc"
)

// CheckConfig implements the service.
func (s *Service) CheckConfig(_ context.Context, request *connect.Request[operatorv1.CheckConfigRequest]) (*connect.Response[operatorv1.CheckConfigResponse], error) {
	response := &operatorv1.CheckConfigResponse{}
	_, err := config.Parse(request.Msg.GetDocument())
	var invalid *yamldoc.InvalidError
	if err != nil && !errors.As(err, &invalid) {
		return nil, toConnect(err)
	}
	if invalid != nil {
		response.More = int32(invalid.More)
		for _, p := range invalid.Problems {
			response.Problems = append(response.Problems, &operatorv1.Problem{
				Line: int32(p.Line), Field: p.Field, Value: p.Value, Message: p.Message,
			})
		}
	}
	return connect.NewResponse(response), nil
}

// ShowConfig implements the service. Revision zero is what is in force at this
// node, also in an outage of the platform.
func (s *Service) ShowConfig(ctx context.Context, request *connect.Request[operatorv1.ShowConfigRequest]) (*connect.Response[operatorv1.ShowConfigResponse], error) {
	revision, document, err := s.documentAt(ctx, request.Msg.GetRevision())
	if err != nil {
		return nil, toConnect(err)
	}
	encoded, err := config.Encode(document)
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&operatorv1.ShowConfigResponse{Revision: revision, Document: encoded}), nil
}

func (s *Service) documentAt(ctx context.Context, revision int64) (*operatorv1.ConfigRevision, *config.Document, error) {
	state := s.current.State()
	if state != nil && (revision == 0 || revision == state.Revision()) {
		return revisionOfState(state), state.Index.Document(), nil
	}
	record, err := s.repository.AtRevision(ctx, revision)
	if err != nil {
		return nil, nil, err
	}
	document, err := s.repository.Document(ctx, record)
	return revisionOfRecord(record), document, err
}

// ListConfigHistory implements the service.
func (s *Service) ListConfigHistory(ctx context.Context, _ *connect.Request[operatorv1.ListConfigHistoryRequest]) (*connect.Response[operatorv1.ListConfigHistoryResponse], error) {
	records, err := s.repository.History(ctx)
	if err != nil {
		return nil, toConnect(err)
	}
	response := &operatorv1.ListConfigHistoryResponse{}
	for _, record := range records {
		response.Revisions = append(response.Revisions, revisionOfRecord(record))
	}
	return connect.NewResponse(response), nil
}

// DiffConfig implements the service.
func (s *Service) DiffConfig(ctx context.Context, request *connect.Request[operatorv1.DiffConfigRequest]) (*connect.Response[operatorv1.DiffConfigResponse], error) {
	from, before, err := s.documentAt(ctx, request.Msg.GetFromRevision())
	if err != nil {
		return nil, toConnect(err)
	}
	to, after, err := s.documentAt(ctx, request.Msg.GetToRevision())
	if err != nil {
		return nil, toConnect(err)
	}
	return connect.NewResponse(&operatorv1.DiffConfigResponse{
		Changes: changesToWire(config.Diff(before, after)), FromRevision: from.GetRevision(), ToRevision: to.GetRevision(),
	}), nil
}

func revisionOfState(state *configsync.State) *operatorv1.ConfigRevision {
	return &operatorv1.ConfigRevision{
		Revision: state.Revision(), PlanId: planID(state.ID), Author: state.Author,
		AcceptedAtUnixMs: state.Accepted.UnixMilli(),
	}
}

func revisionOfRecord(record configsync.Record) *operatorv1.ConfigRevision {
	revision := &operatorv1.ConfigRevision{
		Revision: record.Revision, PlanId: planID(record.ID), Author: record.Author, Summary: record.Summary,
	}
	if !record.Accepted.IsZero() {
		revision.AcceptedAtUnixMs = record.Accepted.UnixMilli()
	}
	return revision
}

func changesToWire(changes []config.Change) []*operatorv1.Change {
	wire := make([]*operatorv1.Change, 0, len(changes))
	for _, change := range changes {
		one := &operatorv1.Change{
			Action: string(change.Action), What: string(change.Section), Name: change.Name,
		}
		for _, field := range change.Fields {
			one.Fields = append(one.Fields, &operatorv1.FieldChange{
				Field: field.Field, Before: field.Before, After: field.After,
			})
		}
		wire = append(wire, one)
	}
	return wire
}
