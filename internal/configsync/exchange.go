package configsync

import (
	"context"
	"errors"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	configsyncv1 "galenatrestle/internal/gen/trestle/configsync/v1"
)

const (
	// viewCheck is how often a node compares its revision with those that the
	// view shows; it costs no message.
	viewCheck = 250 * time.Millisecond
	// exchangePeriod is how often a node pulls from a random peer, whatever
	// the view shows.
	exchangePeriod = time.Second
	// maxPullRetries bounds the pulls that follow a failed one at the next
	// checks instead of after an exchangePeriod.
	maxPullRetries = 3
	// callTime bounds one call to a peer.
	callTime = 2 * time.Second
	// notifyAtOnce bounds the notices under way at one time.
	notifyAtOnce = 16
	// forwardTo is the number of peers that a node tells when it has learned
	// of a revision from a peer.
	forwardTo = 2
	// maxNotifyTries bounds the tries of a notice that was not answered.
	maxNotifyTries = 4
)

// forwardWake stands for "forward" where the exchange loop takes addresses.
const forwardWake = ""

const (
	messagePull   = "pull"
	messageNotify = "notify"
)

// exchangeLoop pulls from members that the view shows ahead, from senders of
// notices that could not be applied, and now and then from a random peer.
func (s *Syncer) exchangeLoop(ctx context.Context) {
	next := time.Now().Add(s.jitter(exchangePeriod))
	retries := 0
	for {
		address := ""
		select {
		case <-ctx.Done():
			return
		case address = <-s.heard:
			if address == forwardWake {
				s.forward(ctx)
				continue
			}
		case <-time.After(s.jitter(viewCheck)):
			s.notifyAgain(ctx)
			address = s.memberAhead()
		}
		if address == "" && !time.Now().Before(next) {
			address = s.randomPeer()
			next = time.Now().Add(s.jitter(exchangePeriod))
		}
		if address == "" {
			continue
		}
		switch {
		case s.pull(ctx, address):
			retries = 0
		case retries < maxPullRetries:
			retries++
			next = time.Now()
		default:
			retries = 0
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

// pull takes what the peer has newer; a peer that is behind gets a notice. It
// reports whether the peer answered.
func (s *Syncer) pull(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, callTime)
	defer cancel()
	have := s.current.Revision()
	response, err := s.askPull(ctx, address, have)
	if err != nil {
		return false
	}
	if response.GetNewest().GetRevision() < have {
		// The peer pulls from here by itself; the notice may be faster.
		s.notify(ctx, address)
		return true
	}
	taken, err := s.takeResponse(response)
	if taken {
		s.forward(ctx)
	}
	if err != nil || taken || response.GetNewest().GetRevision() <= s.current.Revision() {
		return true
	}
	// The deltas did not lead there: ask for the whole.
	response, err = s.askPull(ctx, address, 0)
	if err != nil {
		return false
	}
	taken, err = s.takeResponse(response)
	if err != nil {
		s.countFailure(err, "unpack from peer")
	}
	if taken {
		s.forward(ctx)
	}
	return true
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

// notifyAll tells every known node that is not known to be up to date.
func (s *Syncer) notifyAll(ctx context.Context) {
	addresses := s.addresses()
	s.answers.keep(addresses)
	s.notifyEach(ctx, s.behind(addresses))
}

// forward tells a few peers that are not known to be up to date.
func (s *Syncer) forward(ctx context.Context) {
	behind := s.behind(s.addresses())
	s.mu.Lock()
	s.rng.Shuffle(len(behind), func(i, j int) { behind[i], behind[j] = behind[j], behind[i] })
	s.mu.Unlock()
	s.notifyEach(ctx, behind[:min(forwardTo, len(behind))])
}

// behind returns those addresses whose nodes neither the view nor an answer
// shows at this node's revision.
func (s *Syncer) behind(addresses []string) []string {
	revision := s.current.Revision()
	upToDate := make(map[string]bool)
	for _, member := range s.view.Members() {
		upToDate[member.PeerAddress] = member.ConfigRevision >= revision
	}
	return slices.DeleteFunc(addresses, func(address string) bool {
		return upToDate[address] || s.answers.at(address) >= revision
	})
}

func (s *Syncer) notifyEach(ctx context.Context, addresses []string) {
	var group errgroup.Group
	group.SetLimit(notifyAtOnce)
	for _, address := range addresses {
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

// notifyAgain repeats the notices that were not answered.
func (s *Syncer) notifyAgain(ctx context.Context) {
	s.notifyEach(ctx, s.behind(s.unanswered.take()))
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
		s.unanswered.failed(address, state.Revision())
		return
	}
	s.unanswered.answered(address)
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
