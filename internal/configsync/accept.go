package configsync

import (
	"context"
	"errors"
	"time"

	"galenatrestle/internal/config"
	"galenatrestle/internal/errs"
)

const (
	// spreadTime bounds what a confirmation does after it is accepted and
	// before it answers.
	spreadTime = 3 * time.Second
	// maxUntidied bounds the acceptances that wait to be tidied up after.
	maxUntidied = 16
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

// Changes returns the proposal's differences from its base, or none where its
// document is not kept any more.
func (p *Proposal) Changes() []config.Change {
	switch {
	case p.Document == nil:
		return nil
	case p.Base == nil:
		return config.Diff(&config.Document{}, p.Document)
	default:
		return config.Diff(p.Base, p.Document)
	}
}

// Request is what an operator proposes.
type Request struct {
	Document *config.Document
	Author   string
	// Base, where not zero, is the revision that the operator worked on.
	Base int64
	// AboveRestored proposes on top of what is in force although the platform
	// holds an older or another configuration: the operator's decision after
	// the platform was restored.
	AboveRestored bool
}

// Propose stages a checked document. It returns a *StaleError where the base
// has moved, and a *BehindError where the platform lost accepted revisions.
func (s *Syncer) Propose(ctx context.Context, request Request) (*Proposal, error) {
	proposal, err := s.propose(ctx, request)
	return proposal, s.countRefused(err)
}

func (s *Syncer) propose(ctx context.Context, request Request) (*Proposal, error) {
	head, _, err := s.repository.Head(ctx)
	if err != nil {
		return nil, err
	}
	known := s.knownRevision()
	if err := s.checkBehind(head, known); err != nil && !request.AboveRestored {
		return nil, err
	}
	if request.Base != 0 && request.Base != head.Revision {
		return nil, &StaleError{Base: request.Base, Newest: head}
	}
	open, err := s.repository.openOn(ctx, head)
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
	canonical := config.Canonical(request.Document)
	revision := max(head.Revision, known) + 1
	record, err := s.repository.Stage(ctx, head, baseDocument, canonical, revision, request.Author)
	if err != nil {
		return nil, err
	}
	return &Proposal{Record: record, Base: baseDocument, Document: canonical}, nil
}

// Proposal returns a staged or accepted proposal again. Its documents are nil
// where they are not kept any more.
func (s *Syncer) Proposal(ctx context.Context, id string) (*Proposal, error) {
	record, err := s.repository.Proposal(ctx, id)
	if err != nil {
		return nil, err
	}
	proposal := &Proposal{Record: record}
	if proposal.Document, err = s.documentOf(ctx, record); err != nil {
		return nil, err
	}
	base, err := s.repository.Proposal(ctx, record.Previous)
	if errors.Is(err, ErrNoSuchProposal) {
		return proposal, nil
	}
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
	record, err := s.repository.Proposal(ctx, id)
	if err != nil {
		return Record{}, err
	}
	if err := s.checkAbove(ctx, record); err != nil {
		return Record{}, err
	}
	accepted, err := s.repository.Commit(ctx, record)
	if err != nil {
		return Record{}, err
	}
	// From here on it is accepted, whether the operator still waits or not.
	spreadCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), spreadTime)
	defer cancel()
	if _, err := s.takeRecord(spreadCtx, accepted, sourceAccept); err != nil {
		// This node takes it with the others.
		s.countFailure(err, "take accepted")
	}
	s.notifyAll(spreadCtx)
	select {
	case s.accepted <- accepted:
	default:
		s.metrics.failures.WithLabelValues("tidy").Inc()
	}
	return accepted, nil
}

// tidyLoop tidies up after acceptances.
func (s *Syncer) tidyLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case record := <-s.accepted:
			s.tidy(ctx, record)
		}
	}
}

// tidy notes the time of acceptance for the history and removes what is old.
// What it leaves undone the next acceptance does.
func (s *Syncer) tidy(ctx context.Context, accepted Record) {
	if err := s.repository.rewrite(ctx, accepted); err != nil {
		s.countFailure(err, "mark accepted")
	}
	if _, err := s.repository.Sweep(ctx); err != nil {
		s.countFailure(err, "sweep")
	}
}

// Accept proposes and confirms in one.
func (s *Syncer) Accept(ctx context.Context, request Request) (Record, error) {
	proposal, err := s.Propose(ctx, request)
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
	standing, _, err := s.repository.StandingOf(ctx, record)
	if err != nil {
		return Record{}, err
	}
	if standing == StandingAccepted {
		return Record{}, &AcceptedError{Record: record}
	}
	return record, s.repository.Discard(ctx, record)
}

// knownRevision returns the highest revision in force at a known node.
func (s *Syncer) knownRevision() int64 {
	known := max(s.current.Revision(), s.newest())
	for _, member := range s.view.Members() {
		known = max(known, member.ConfigRevision)
	}
	return known
}

// checkBehind returns a *BehindError where the platform's newest record is
// below what is in force, or is another of the same number.
func (s *Syncer) checkBehind(head Record, known int64) error {
	state := s.current.State()
	diverged := state != nil && state.Revision() == head.Revision && state.ID != head.ID
	if head.Revision < known || diverged {
		return &BehindError{Platform: head.Revision, Known: known}
	}
	return nil
}

// checkAbove returns a *BehindError for a record that no node would take: one
// that was staged before the platform lost revisions.
func (s *Syncer) checkAbove(ctx context.Context, record Record) error {
	known := s.knownRevision()
	state := s.current.State()
	if record.Revision > known || (state != nil && state.ID == record.ID) {
		return nil
	}
	head, _, err := s.repository.Head(ctx)
	if err != nil {
		return err
	}
	return s.checkBehind(head, known)
}

// documentOf returns a record's document, from memory where it is in force.
func (s *Syncer) documentOf(ctx context.Context, record Record) (*config.Document, error) {
	if record.ID == "" || record.Chunks == 0 {
		return nil, nil
	}
	if state := s.current.State(); state != nil && state.ID == record.ID {
		return state.Index.Document(), nil
	}
	return s.repository.Document(ctx, record)
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

// ConfigRevision returns the newest accepted revision, who accepted it and
// what it changed, for plans of other kinds that stand on it.
func (s *Syncer) ConfigRevision(ctx context.Context) (revision int64, operator, change string, err error) {
	head, _, err := s.repository.Head(ctx)
	return head.Revision, head.Author, head.Summary, err
}
