package configsync

import (
	"encoding/hex"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"galenatrestle/internal/config"
	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
)

// State is one revision as a node holds it. It never changes.
type State struct {
	Index *config.Index
	// ID is the id of the write that accepted it.
	ID       string
	Sum      config.Sum
	Author   string
	Accepted time.Time

	packOnce sync.Once
	packed   []byte
	packErr  error
}

// Revision returns the revision, or zero of a nil state.
func (s *State) Revision() int64 {
	if s == nil {
		return 0
	}
	return s.Index.Revision()
}

// id returns the write id, or nothing of a nil state.
func (s *State) id() string {
	if s == nil {
		return ""
	}
	return s.ID
}

// wire returns the revision as it travels between nodes.
func (s *State) wire() *configsyncv1.Revision {
	if s == nil {
		return &configsyncv1.Revision{}
	}
	return &configsyncv1.Revision{
		Revision: s.Revision(), WriteId: s.ID, Sum: s.Sum[:], Author: s.Author,
		AcceptedAtUnixMs: s.Accepted.UnixMilli(),
	}
}

// document returns the packed document; packed once, when first asked for.
func (s *State) document() ([]byte, error) {
	s.packOnce.Do(func() {
		s.packed, _, s.packErr = packDocument(s.Index.Document())
	})
	return s.packed, s.packErr
}

// stateOfRecord returns the state of an accepted record and its document.
func stateOfRecord(record Record, document *config.Document) (*State, error) {
	sum, err := record.sum()
	if err != nil {
		return nil, err
	}
	return &State{
		Index: config.NewIndex(record.Revision, document), ID: record.ID, Sum: sum,
		Author: record.Author, Accepted: record.Accepted,
	}, nil
}

// stateOfWire returns the state of a revision from a peer.
func stateOfWire(revision *configsyncv1.Revision, document *config.Document) *State {
	return &State{
		Index: config.NewIndex(revision.GetRevision(), document), ID: revision.GetWriteId(),
		Sum: wireSum(revision), Author: revision.GetAuthor(),
		Accepted: time.UnixMilli(revision.GetAcceptedAtUnixMs()),
	}
}

// wireSum returns the sum; one of the wrong length comes out as zero, which no
// document has.
func wireSum(revision *configsyncv1.Revision) config.Sum {
	var sum config.Sum
	if len(revision.GetSum()) == len(sum) {
		copy(sum[:], revision.GetSum())
	}
	return sum
}

// wireOfRecord returns an accepted record as it travels between nodes.
func wireOfRecord(record Record) *configsyncv1.Revision {
	// A sum that does not decode stays empty and is refused by the receiver.
	sum, _ := hex.DecodeString(record.Sum)
	return &configsyncv1.Revision{
		Revision: record.Revision, WriteId: record.ID, Sum: sum, Author: record.Author,
		AcceptedAtUnixMs: record.Accepted.UnixMilli(),
	}
}

func wireBytes(message proto.Message) float64 { return float64(proto.Size(message)) }
