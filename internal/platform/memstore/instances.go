package memstore

import (
	"context"
	"slices"

	"galenatrestle/internal/platform"
)

// SetInstances replaces the list of VMs. While StaleInstances is on, readers
// go on seeing the list as it was.
func (s *Store) SetInstances(instances []platform.Instance) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances = slices.Clone(instances)
}

// Instances implements platform.Instances.
func (s *Store) Instances(ctx context.Context) ([]platform.Instance, error) {
	if err := s.begin(ctx, platform.CallInstances); err != nil {
		return nil, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.isStale() {
		return slices.Clone(s.frozen), nil
	}
	return slices.Clone(s.instances), nil
}

// freeze keeps the list as it is now for stale answers.
func (s *Store) freeze() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = slices.Clone(s.instances)
}

// Reserve implements platform.Weights.
func (s *Store) Reserve(ctx context.Context, _, _ string) error {
	return s.begin(ctx, platform.CallReserve)
}
