package configsync

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
)

const (
	// viewCheck is how often a node compares its revision with those that the
	// view shows; it costs no message.
	viewCheck = 500 * time.Millisecond
	// exchangePeriod is how often a node pulls from a random peer, whatever
	// the view shows.
	exchangePeriod = 2 * time.Second
	// callTime bounds one call to a peer.
	callTime = 2 * time.Second
	// notifyAtOnce bounds the notices under way at one time.
	notifyAtOnce = 16
)

const (
	messagePull   = "pull"
	messageNotify = "notify"
)

// exchangeLoop pulls from members that the view shows ahead, from senders of
// notices that could not be applied, and now and then from a random peer.
func (s *Syncer) exchangeLoop(ctx context.Context) {
	next := time.Now().Add(s.jitter(exchangePeriod))
	for {
		address := ""
		select {
		case <-ctx.Done():
			return
		case address = <-s.heard:
		case <-time.After(s.jitter(viewCheck)):
			address = s.memberAhead()
		}
		if address == "" && !time.Now().Before(next) {
			address = s.randomPeer()
			next = time.Now().Add(s.jitter(exchangePeriod))
		}
		if address != "" {
			s.pull(ctx, address)
		}
	}
}

// memberAhead returns the address of a random member with a higher revision.
func (s *Syncer) memberAhead() string {
	var ahead []string
	for _, member := range s.view.Members() {
		if member.ConfigRevision > s.current.Revision() {
			ahead = append(ahead, member.PeerAddress)
		}
	}
	if len(ahead) == 0 {
		return ""
	}
	return ahead[s.pick(len(ahead))]
}

func (s *Syncer) randomPeer() string {
	addresses := s.addresses()
	if len(addresses) == 0 {
		return ""
	}
	return addresses[s.pick(len(addresses))]
}

// pull takes what the peer has newer; a peer that is behind gets a notice.
func (s *Syncer) pull(ctx context.Context, address string) {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	have := s.current.Revision()
	response, err := s.askPull(ctx, address, have)
	if err != nil {
		return
	}
	if response.GetNewest().GetRevision() < have {
		s.notify(ctx, address)
		return
	}
	taken, err := s.takeResponse(response)
	if err != nil || taken || response.GetNewest().GetRevision() <= s.current.Revision() {
		return
	}
	// The deltas did not lead there: ask for the whole.
	response, err = s.askPull(ctx, address, 0)
	if err != nil {
		return
	}
	if _, err := s.takeResponse(response); err != nil {
		s.countFailure(err, "unpack from peer")
	}
}

func (s *Syncer) askPull(ctx context.Context, address string, have int64) (*configsyncv1.PullResponse, error) {
	request := &configsyncv1.PullRequest{Sender: s.view.Self().Name, HaveRevision: have}
	s.metrics.message(messagePull, directionSent, wireBytes(request))
	response, err := s.peers.Pull(ctx, address, request)
	if err != nil {
		s.countFailure(err, messagePull)
		return nil, err
	}
	s.metrics.message(messagePull, directionReceived, wireBytes(response))
	s.answers.note(address, response.GetNewest().GetRevision())
	return response, nil
}

// takeResponse puts a pulled revision in force if it is higher.
func (s *Syncer) takeResponse(response *configsyncv1.PullResponse) (bool, error) {
	s.applying.Lock()
	defer s.applying.Unlock()
	newest := response.GetNewest()
	if !s.isNews(newest, sourcePull) {
		return false, nil
	}
	if s.applyDeltas(response.GetDeltas(), sourcePull) {
		return true, nil
	}
	if len(response.GetDocument()) == 0 {
		return false, nil
	}
	document, err := unpackDocument(response.GetDocument(), newest.GetRevision(), wireSum(newest))
	var wrong *SumError
	if errors.As(err, &wrong) {
		s.ignore(ignoredSum, newest, sourcePull)
	}
	if err != nil {
		return false, err
	}
	return s.move(stateOfWire(newest, document), sourcePull), nil
}

// notifyAll tells every known node that the view does not show up to date.
func (s *Syncer) notifyAll(ctx context.Context) {
	revision := s.current.Revision()
	done := make(map[string]bool)
	for _, member := range s.view.Members() {
		if member.ConfigRevision >= revision {
			done[member.PeerAddress] = true
		}
	}
	addresses := s.addresses()
	s.answers.keep(addresses)
	var group errgroup.Group
	group.SetLimit(notifyAtOnce)
	for _, address := range addresses {
		if done[address] {
			continue
		}
		group.Go(func() error {
			ctx, cancel := context.WithTimeout(ctx, callTime)
			defer cancel()
			s.notify(ctx, address)
			return nil
		})
	}
	// The goroutines return no error: each failure is counted where it arose.
	_ = group.Wait()
}

func (s *Syncer) notify(ctx context.Context, address string) {
	state := s.current.State()
	if state == nil {
		return
	}
	self := s.view.Self()
	request := &configsyncv1.NotifyRequest{
		Sender: self.Name, SenderAddress: self.PeerAddress, Newest: state.wire(), Deltas: s.lastDelta(state),
	}
	s.metrics.message(messageNotify, directionSent, wireBytes(request))
	response, err := s.peers.Notify(ctx, address, request)
	if err != nil {
		s.countFailure(err, messageNotify)
		return
	}
	s.metrics.message(messageNotify, directionReceived, wireBytes(response))
	s.answers.note(address, response.GetRevision())
}

// lastDelta returns the one delta that led to state, where a notice may carry it.
func (s *Syncer) lastDelta(state *State) []*configsyncv1.Delta {
	delta := s.deltas.endingAt(state.Revision())
	if delta == nil || len(delta.GetPatch()) > maxPatchBytes {
		return nil
	}
	return []*configsyncv1.Delta{delta}
}
