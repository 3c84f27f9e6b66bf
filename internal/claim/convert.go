package claim

import (
	"maps"
	"net/http"
	"slices"

	"github.com/google/uuid"
	"google.golang.org/protobuf/proto"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// KeyToProto converts a key to its protobuf message.
func KeyToProto(key Key) *claimv1.Key {
	return &claimv1.Key{Workspace: key.Workspace, Upstream: key.Upstream, IdempotencyKey: key.IdempotencyKey}
}

// KeyFromProto converts a protobuf message to a key.
func KeyFromProto(key *claimv1.Key) Key {
	return Key{Workspace: key.GetWorkspace(), Upstream: key.GetUpstream(), IdempotencyKey: key.GetIdempotencyKey()}
}

// uuidFromBytes returns uuid.Nil if raw is not a valid UUID.
func uuidFromBytes(raw []byte) uuid.UUID {
	id, err := uuid.FromBytes(raw)
	if err != nil {
		return uuid.Nil
	}
	return id
}

// AnswerToProto converts an answer to its protobuf message, with headers sorted by name.
func AnswerToProto(answer Answer) *claimv1.Answer {
	message := &claimv1.Answer{Status: int32(answer.Status), Body: answer.Body, BodyDropped: answer.BodyDropped}
	for _, name := range slices.Sorted(maps.Keys(answer.Header)) {
		message.Header = append(message.Header, &claimv1.HeaderField{Name: name, Values: answer.Header[name]})
	}
	return message
}

// boundedAnswer converts the answer, keeping only its status if it exceeds maxBytes.
func boundedAnswer(answer Answer, maxBytes int) *claimv1.Answer {
	message := AnswerToProto(answer)
	if proto.Size(message) <= maxBytes {
		return message
	}
	return &claimv1.Answer{Status: message.GetStatus(), BodyDropped: true}
}

// AnswerFromProto converts a protobuf message to an answer.
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
