package configsync

import (
	"context"
	"slices"
	"sync"
	"time"
)

const (
	// bootstrapTime bounds the wait for peers at the start. Until they have
	// answered or it is over nothing from the platform is put in force, since
	// a restored platform may hold less than the peers do.
	bootstrapTime = time.Second
	// bootstrapPeers is the number of peers asked at the start.
	bootstrapPeers = 4
)

// bootstrap takes the newest of a few peers, then of the platform.
func (s *Syncer) bootstrap(ctx context.Context) {
	s.pullFromFew(ctx)
	ctx, cancel := context.WithTimeout(ctx, bootstrapTime)
	defer cancel()
	s.poll(ctx)
}

func (s *Syncer) pullFromFew(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, bootstrapTime)
	defer cancel()
	addresses := s.addresses()
	s.mu.Lock()
	s.rng.Shuffle(len(addresses), func(i, j int) {
		addresses[i], addresses[j] = addresses[j], addresses[i]
	})
	s.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range addresses[:min(bootstrapPeers, len(addresses))] {
		wg.Go(func() { s.pull(ctx, address) })
	}
	wg.Wait()
}

// addresses returns the peer addresses of the view's members and the contacts,
// without this node's own.
func (s *Syncer) addresses() []string {
	self := s.view.Self()
	addresses := slices.Clone(s.contacts())
	for _, member := range s.view.Members() {
		addresses = append(addresses, member.PeerAddress)
	}
	slices.Sort(addresses)
	addresses = slices.Compact(addresses)
	return slices.DeleteFunc(addresses, func(a string) bool { return a == self.PeerAddress })
}
