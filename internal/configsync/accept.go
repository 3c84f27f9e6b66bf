package configsync

import (
	"context"
	"errors"

	"galenatrestle/internal/config"
	"galenatrestle/internal/errs"
	"galenatrestle/internal/membership"
)

// refusedReason labels the counter of refusals.
type refusedReason string

const (
	refusedStale   refusedReason = "stale"
	refusedBehind  refusedReason = "platform_behind"
	refusedFull    refusedReason = "too_many_open"
	refusedLarge   refusedReason = "too_large"
	refusedUnknown refusedReason = "unknown_outcome"
	refusedOther   refusedReason = "platform"
)

// Proposal is a staged document and what it was worked out on.
type Proposal struct {
	Record Record
	// Base is nil for the first configuration.
	Base *config.Document
	// Document is canonical.
	Document *config.Document
}

// Changes returns the proposal's differences from its base.
func (p *Proposal) Changes() []config.Change {
	if p.Base == nil {
		return config.Diff(&config.Document{}, p.Document)
	}
	return config.Diff(p.Base, p.Document)
}

// Propose stages a checked document. A base other than zero is the revision
// that the operator worked on: a *StaleError tells what came after it.
func (s *Syncer) Propose(ctx context.Context, document *config.Document, author string, base int64) (*Proposal, error) {
	proposal, err := s.propose(ctx, document, author, base)
	return proposal, s.countRefused(err)
}

func (s *Syncer) propose(ctx context.Context, document *config.Document, author string, base int64) (*Proposal, error) {
	head, err := s.guardedHead(ctx)
	if err != nil {
		return nil, err
	}
	if base != 0 && base != head.Revision {
		return nil, &StaleError{Base: base, Newest: head}
	}
	open, err := s.repository.Open(ctx)
	if err != nil {
		return nil, err
	}
	if len(open) >= MaxOpen {
		return nil, &FullError{Open: len(open)}
	}
	baseDocument, err := s.documentOf(ctx, head)
	if err != nil {
		return nil, err
	}
	canonical := config.Canonical(document)
	record, err := s.repository.Stage(ctx, head, baseDocument, canonical, head.Revision+1, author)
	if err != nil {
		return nil, err
	}
	return &Proposal{Record: record, Base: baseDocument, Document: canonical}, nil
}

// Proposal returns a staged or accepted proposal again, with its documents.
func (s *Syncer) Proposal(ctx context.Context, id string) (*Proposal, error) {
	record, err := s.repository.Proposal(ctx, id)
	if err != nil {
		return nil, err
	}
	document, err := s.documentOf(ctx, record)
	if err != nil {
		return nil, err
	}
	proposal := &Proposal{Record: record, Document: document}
	if record.Previous == "" {
		return proposal, nil
	}
	base, err := s.repository.Proposal(ctx, record.Previous)
	if err != nil {
		return nil, err
	}
	proposal.Base, err = s.documentOf(ctx, base)
	return proposal, err
}

// Confirm accepts a proposal. When it returns without an error, the record is
// accepted and in force at this node, and the others are being told.
func (s *Syncer) Confirm(ctx context.Context, id string) (Record, error) {
	record, err := s.confirm(ctx, id)
	return record, s.countRefused(err)
}

func (s *Syncer) confirm(ctx context.Context, id string) (Record, error) {
	if _, err := s.guardedHead(ctx); err != nil {
		return Record{}, err
	}
	record, err := s.repository.Proposal(ctx, id)
	if err != nil {
		return Record{}, err
	}
	accepted, err := s.repository.Commit(ctx, record)
	if err != nil {
		return Record{}, err
	}
	if _, err := s.takeRecord(ctx, accepted); err != nil {
		// It is accepted all the same; this node takes it with the others.
		s.countFailure(err, "take accepted")
	}
	s.notifyAll(ctx)
	s.tidy(ctx, accepted)
	return accepted, nil
}

// tidy notes the time of acceptance for the history and removes what is old.
// What it leaves undone the next acceptance does.
func (s *Syncer) tidy(ctx context.Context, accepted Record) {
	if err := s.repository.markAccepted(ctx, accepted); err != nil {
		s.countFailure(err, "mark accepted")
	}
	if _, err := s.repository.Sweep(ctx); err != nil {
		s.countFailure(err, "sweep")
	}
}

// Accept proposes and confirms in one.
func (s *Syncer) Accept(ctx context.Context, base int64, document *config.Document, author string) (Record, error) {
	proposal, err := s.Propose(ctx, document, author, base)
	if err != nil {
		return Record{}, err
	}
	return s.Confirm(ctx, proposal.Record.ID)
}

// Abandon removes an open proposal; one that is accepted stays.
func (s *Syncer) Abandon(ctx context.Context, id string) (Record, error) {
	record, err := s.repository.Proposal(ctx, id)
	if err != nil {
		return Record{}, err
	}
	accepted, err := s.repository.History(ctx)
	if err != nil {
		return Record{}, err
	}
	for _, one := range accepted {
		if one.ID == id {
			return Record{}, &AcceptedError{Record: one}
		}
	}
	return record, s.repository.Discard(ctx, record)
}

// guardedHead returns the platform's newest record, or a *BehindError where a
// known node has a higher revision in force.
func (s *Syncer) guardedHead(ctx context.Context) (Record, error) {
	head, _, err := s.repository.Head(ctx)
	if err != nil {
		return Record{}, err
	}
	known := s.current.Revision()
	for _, member := range s.view.Members() {
		known = max(known, member.ConfigRevision)
	}
	if head.Revision < known {
		return Record{}, &BehindError{Platform: head.Revision, Known: known}
	}
	if state := s.current.State(); state.Revision() == head.Revision && state != nil && state.ID != head.ID {
		return Record{}, &BehindError{Platform: head.Revision, Known: known}
	}
	return head, nil
}

// documentOf returns a record's document, from memory where it is in force.
func (s *Syncer) documentOf(ctx context.Context, record Record) (*config.Document, error) {
	if record.ID == "" {
		return nil, nil
	}
	if state := s.current.State(); state != nil && state.ID == record.ID {
		return state.Index.Document(), nil
	}
	return s.repository.Document(ctx, record)
}

// InForce counts the members that have the revision in force, and all members
// that are not leaving.
func (s *Syncer) InForce(revision int64) (inForce, members int) {
	self := s.view.Self().Name
	for _, member := range s.view.Members() {
		if member.State == membership.StateLeaving {
			continue
		}
		members++
		if member.Name == self {
			member.ConfigRevision = s.current.Revision()
		}
		if member.ConfigRevision >= revision {
			inForce++
		}
	}
	return inForce, members
}

func (s *Syncer) countRefused(err error) error {
	if err == nil {
		return nil
	}
	s.metrics.refused.WithLabelValues(string(reasonOf(err))).Inc()
	return errs.Wrap(errs.Operator, err, "accept configuration", storePeer)
}

func reasonOf(err error) refusedReason {
	var (
		stale  *StaleError
		behind *BehindError
		full   *FullError
		large  *TooLargeError
	)
	switch {
	case errors.As(err, &stale):
		return refusedStale
	case errors.As(err, &behind):
		return refusedBehind
	case errors.As(err, &full):
		return refusedFull
	case errors.As(err, &large):
		return refusedLarge
	case errors.Is(err, ErrUnknownOutcome):
		return refusedUnknown
	default:
		return refusedOther
	}
}
