package claim

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// shortBytes is the size of a short record without an attempt: digest, phase,
// status, second and fingerprint.
const shortBytes = len(digest{}) + 1 + 2 + 4 + shortFingerprintBytes

var errShortRecord = errors.New("claim: a short record that cannot be read")

// shortens says whether the state may be kept as a short record. A claim in
// progress and a release are needed whole: they are met by their attempts.
func shortens(state *claimv1.Record, now time.Time, policy Policy) bool {
	if len(state.GetFingerprint()) < shortFingerprintBytes {
		return false
	}
	age := now.Sub(time.UnixMilli(state.GetChangedMs()))
	switch state.GetPhase() {
	case claimv1.Phase_PHASE_RECORDED, claimv1.Phase_PHASE_UNKNOWN:
		return age > policy.AnswerRetention
	}
	return false
}

// pack encodes an ended claim as a short record. The time is rounded up to the
// second, so that the claim is not forgotten early. An unknown claim keeps its
// attempt, which may still be recorded.
func pack(id digest, state *claimv1.Record) []byte {
	packed := make([]byte, 0, shortBytes+len(uuid.UUID{}))
	packed = append(packed, id[:]...)
	packed = append(packed, byte(state.GetPhase()))
	packed = binary.BigEndian.AppendUint16(packed, uint16(state.GetAnswer().GetStatus()))
	packed = binary.BigEndian.AppendUint32(packed, uint32((state.GetChangedMs()+999)/1000))
	packed = append(packed, state.GetFingerprint()[:shortFingerprintBytes]...)
	if state.GetPhase() == claimv1.Phase_PHASE_UNKNOWN {
		attempt := uuidFromBytes(state.GetAttempt())
		packed = append(packed, attempt[:]...)
	}
	return packed
}

// unpack decodes a short record. The record has no key.
func unpack(packed []byte) (*claimv1.Record, error) {
	if len(packed) < shortBytes {
		return nil, errShortRecord
	}
	rest := packed[len(digest{}):]
	state := &claimv1.Record{
		Phase:       claimv1.Phase(rest[0]),
		ChangedMs:   int64(binary.BigEndian.Uint32(rest[3:])) * 1000,
		Fingerprint: rest[7 : 7+shortFingerprintBytes],
	}
	attempt := packed[shortBytes:]
	switch {
	case state.Phase == claimv1.Phase_PHASE_RECORDED && len(attempt) == 0:
		state.Answer = &claimv1.Answer{Status: int32(binary.BigEndian.Uint16(rest[1:])), BodyDropped: true}
	case state.Phase == claimv1.Phase_PHASE_UNKNOWN && len(attempt) == len(uuid.UUID{}):
		state.Attempt = attempt
	default:
		return nil, errShortRecord
	}
	return state, nil
}
