package claim

import (
	"maps"
	"net/http"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// KeyToProto converts the key.
func KeyToProto(key Key) *claimv1.Key {
	return &claimv1.Key{Workspace: key.Workspace, Upstream: key.Upstream, IdempotencyKey: key.IdempotencyKey}
}

// KeyFromProto converts the key.
func KeyFromProto(key *claimv1.Key) Key {
	return Key{Workspace: key.GetWorkspace(), Upstream: key.GetUpstream(), IdempotencyKey: key.GetIdempotencyKey()}
}

// uuidFromBytes returns the zero id for bytes that are none.
func uuidFromBytes(raw []byte) uuid.UUID {
	id, err := uuid.FromBytes(raw)
	if err != nil {
		return uuid.Nil
	}
	return id
}

// AnswerToProto converts the answer, with its headers in order of name.
func AnswerToProto(answer Answer) *claimv1.Answer {
	kept := &claimv1.Answer{Status: int32(answer.Status), Body: answer.Body, BodyDropped: answer.BodyDropped}
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		kept.Header = append(kept.Header, &claimv1.HeaderField{Name: name, Values: answer.Header[name]})
	}
	return kept
}

// boundedAnswer keeps the answer; past the bound only its status.
func boundedAnswer(answer Answer, maxBytes int) *claimv1.Answer {
	kept := AnswerToProto(answer)
	if proto.Size(kept) <= maxBytes {
		return kept
	}
	return &claimv1.Answer{Status: kept.GetStatus(), BodyDropped: true}
}

// AnswerFromProto converts the answer.
func AnswerFromProto(answer *claimv1.Answer) Answer {
	header := make(http.Header, len(answer.GetHeader()))
	for _, field := range answer.GetHeader() {
		header[field.GetName()] = field.GetValues()
	}
	return Answer{
		Status:      int(answer.GetStatus()),
		Header:      header,
		Body:        answer.GetBody(),
		BodyDropped: answer.GetBodyDropped(),
	}
}
