package handover

import (
	"context"
	"encoding/json"
	"errors"
	"strings"
	"time"

	"galenatrestle/internal/errs"
	"galenatrestle/internal/platform"
	"galenatrestle/internal/platform/readback"
)

// Keys of the moves and of the nodes' registrations in the platform's service.
const (
	MovePrefix = "handover/move/"
	NodePrefix = "handover/node/"
)

// ErrUnknownMove says that no move has the id.
var ErrUnknownMove = errors.New("handover: no such move")

// MoveStore keeps one side's moves and registrations in its platform's
// service. It holds no state of its own and is safe for concurrent use.
type MoveStore struct {
	kv    platform.Store
	newID func() string
}

// NewMoveStore returns a MoveStore; newID must return an id that is unique
// over all processes.
func NewMoveStore(kv platform.Store, newID func() string) *MoveStore {
	return &MoveStore{kv: kv, newID: newID}
}

// Moves returns all moves and the platform's revision of the list.
func (s *MoveStore) Moves(ctx context.Context) ([]Move, int64, error) {
	entries, revision, err := s.kv.List(ctx, MovePrefix)
	if err != nil {
		return nil, 0, errs.Wrap(errs.Platform, err, "list moves", MovePrefix)
	}
	moves := make([]Move, 0, len(entries))
	for _, entry := range entries {
		m, err := decodeMove(entry)
		if err != nil {
			return nil, 0, err
		}
		moves = append(moves, m)
	}
	return moves, revision, nil
}

// Await returns when a move has changed after the revision, or after wait.
func (s *MoveStore) Await(ctx context.Context, revision int64, wait time.Duration) error {
	_, err := s.kv.Watch(ctx, MovePrefix, revision, wait)
	return errs.Wrap(errs.Platform, err, "watch moves", MovePrefix)
}

// Move returns the record of a move, or ErrUnknownMove.
func (s *MoveStore) Move(ctx context.Context, id string) (Move, error) {
	entry, err := s.kv.Get(ctx, MovePrefix+id)
	if errors.Is(err, platform.ErrNotFound) {
		return Move{}, ErrUnknownMove
	}
	if err != nil {
		return Move{}, errs.Wrap(errs.Platform, err, "read move", id)
	}
	return decodeMove(entry)
}

// Write writes the record where its key is still at the record's revision and
// returns it at its new one. See readback.Write for the errors.
func (s *MoveStore) Write(ctx context.Context, m Move) (Move, error) {
	m.WriteID = s.newID()
	value, err := json.Marshal(m)
	if err != nil {
		return m, err
	}
	entry, err := readback.Write(ctx, s.kv, MovePrefix+m.ID, m.Revision, value, m.WriteID)
	if err != nil {
		return m, err
	}
	m.Revision = entry.Revision
	return m, nil
}

// Update applies change to the newest record until the write succeeds or
// change returns an error.
func (s *MoveStore) Update(ctx context.Context, id string, change func(m Move) (Move, error)) (Move, error) {
	for {
		m, err := s.Move(ctx, id)
		if err != nil {
			return m, err
		}
		next, err := change(m)
		if err != nil {
			return m, err
		}
		written, err := s.Write(ctx, next)
		if !readback.IsConflict(err) {
			return written, err
		}
	}
}

// Register makes a node known to drivers. It must have succeeded before the
// node reads the moves that it begins to serve by.
func (s *MoveStore) Register(ctx context.Context, node string) error {
	key := NodePrefix + node
	_, err := s.kv.Get(ctx, key)
	if err == nil {
		return nil
	}
	if !errors.Is(err, platform.ErrNotFound) {
		return errs.Wrap(errs.Platform, err, "register", node)
	}
	_, err = s.kv.CompareAndSwap(ctx, key, 0, []byte("{}"))
	if readback.IsConflict(err) {
		return nil
	}
	return errs.Wrap(errs.Platform, err, "register", node)
}

// Deregister is a node's last act of a planned stop: it serves no more.
func (s *MoveStore) Deregister(ctx context.Context, node string) error {
	entry, err := s.kv.Get(ctx, NodePrefix+node)
	if errors.Is(err, platform.ErrNotFound) {
		return nil
	}
	if err != nil {
		return errs.Wrap(errs.Platform, err, "deregister", node)
	}
	return errs.Wrap(errs.Platform, s.kv.Delete(ctx, entry.Key, entry.Revision), "deregister", node)
}

// Nodes returns the registered nodes, ordered by name.
func (s *MoveStore) Nodes(ctx context.Context) ([]string, error) {
	entries, _, err := s.kv.List(ctx, NodePrefix)
	if err != nil {
		return nil, errs.Wrap(errs.Platform, err, "list nodes", NodePrefix)
	}
	names := make([]string, 0, len(entries))
	for _, entry := range entries {
		names = append(names, strings.TrimPrefix(entry.Key, NodePrefix))
	}
	return names, nil
}

func decodeMove(entry platform.Entry) (Move, error) {
	var m Move
	if err := json.Unmarshal(entry.Value, &m); err != nil {
		return m, errs.Wrap(errs.Platform, err, "decode move", entry.Key)
	}
	m.Revision = entry.Revision
	return m, nil
}
