package handover

import "context"

func (s *simSide) Arm(ctx context.Context, node string, m Move) error {
	armed, err := simCall(ctx, s.inner, func() (bool, error) {
		n, err := s.node(node)
		if err != nil {
			return false, err
		}
		return n.parts().gate.Arm(m.ID, m.Set, m.Driver, m.DriverEpoch), nil
	})
	if err == nil && !armed {
		return errNotArmed
	}
	return err
}

func (s *simSide) Stop(ctx context.Context, node string, m Move) (int64, error) {
	return simCall(ctx, s.inner, func() (int64, error) {
		n, err := s.node(node)
		if err != nil {
			return 0, err
		}
		inFlight, stopped := n.parts().gate.Stop(m)
		if !stopped {
			return 0, errNotStopped
		}
		return inFlight, nil
	})
}

func (s *simSide) Vouch(ctx context.Context, node string) (Vouch, error) {
	return simCall(ctx, s.inner, func() (Vouch, error) {
		for _, n := range s.nodes {
			if _, ok := n.alive(); !ok || n.isCut() || n.name == node {
				continue
			}
			if moves, ok := n.parts().gate.Vouch(); ok {
				return Vouch{Term: s.world.timing.Term, Moves: moves}, nil
			}
		}
		return Vouch{}, errNotVouched
	})
}

func (s *simSide) Permit(ctx context.Context, ask Ask, node string) (bool, error) {
	return simCall(ctx, s.inner, func() (bool, error) {
		n, err := s.node(ask.Driver)
		if err != nil {
			return false, err
		}
		return n.parts().driver.Permit(ask.MoveID, node, ask.Epoch), nil
	})
}
