package claim

import (
	"encoding/binary"
	"errors"
	"time"

	"github.com/google/uuid"

	claimv1 "galenatrestle/internal/gen/trestle/claim/v1"
)

// shortRecordBytes is the size of a short record without an attempt: digest, phase,
// status, time in seconds and fingerprint prefix.
const shortRecordBytes = len(digest{}) + 1 + 2 + 4 + shortFingerprintBytes

var errShortRecord = errors.New("claim: malformed short record")

// canShorten reports whether the state may be stored as a short record. In-progress and
// released claims must keep their full record, because it is matched against later
// requests of the same attempt.
func canShorten(state *claimv1.Record, now time.Time, policy Policy) bool {
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

// encodeShortRecord encodes an ended claim. The time is rounded up to the second, so
// that the claim does not expire early. An unknown claim keeps its attempt, whose answer
// may still be recorded.
func encodeShortRecord(id digest, state *claimv1.Record) []byte {
	packed := make([]byte, 0, shortRecordBytes+len(uuid.UUID{}))
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

// decodeShortRecord returns a record without its key.
func decodeShortRecord(packed []byte) (*claimv1.Record, error) {
	if len(packed) < shortRecordBytes {
		return nil, errShortRecord
	}
	rest := packed[len(digest{}):]
	state := &claimv1.Record{
		Phase:       claimv1.Phase(rest[0]),
		ChangedMs:   int64(binary.BigEndian.Uint32(rest[3:])) * 1000,
		Fingerprint: rest[7 : 7+shortFingerprintBytes],
	}
	attempt := packed[shortRecordBytes:]
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
