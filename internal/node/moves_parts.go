package node

import (
	"context"
	"errors"
	"net/http"

	"galenatrestle/internal/config"
	"galenatrestle/internal/handover"
	"galenatrestle/internal/membership"
)

// linkDialer reaches peers by the node's link.
type linkDialer struct {
	link *peers
}

// Dial implements handover.Dialer.
func (d linkDialer) Dial(address string) (*http.Client, string) {
	return d.link.clients.HTTPClient(address), d.link.clients.URL(address)
}

// addressOf finds a member's peer address by its name.
func addressOf(members membership.View) func(string) string {
	return func(name string) string { return membership.PeerAddress(members, name) }
}

// callersGate gives the callers' side the node's gate.
type callersGate struct {
	gate *handover.Gate
}

// Await implements gateway.Gate.
func (g callersGate) Await(ctx context.Context, upstream, workspace string, relayed bool) (string, func(), error) {
	verdict, done, err := g.gate.Await(ctx, upstream, workspace, relayed)
	if err != nil {
		return "", nil, err
	}
	if verdict.Kind == handover.Relay {
		return verdict.Address, nil, nil
	}
	return "", done, nil
}

// errUnrepeatable says that a set can't be moved by this version.
var errUnrepeatable = errors.New("the set has calls that may not be repeated, whose claims can't be moved yet")

// movable refuses moves of sets with unrepeatable calls.
func movable(configuration func() *config.Index) func(handover.Set) error {
	return func(set handover.Set) error {
		index := configuration()
		if index == nil {
			return errors.New("no configuration is in force yet")
		}
		for _, u := range index.Document().Upstreams {
			if len(u.Unrepeatable) > 0 && uses(index.Document(), set, u.Name) {
				return errUnrepeatable
			}
		}
		return nil
	}
}

// uses says whether a request of the set can be for the upstream.
func uses(doc *config.Document, set handover.Set, upstream string) bool {
	for _, w := range doc.Workspaces {
		for _, name := range w.Upstreams {
			if name == upstream && set.Has(upstream, w.Name) {
				return true
			}
		}
	}
	return false
}

// noClaims moves no claims: sets that have some are refused by movable.
type noClaims struct{}

// Export implements handover.ClaimMover.
func (noClaims) Export(context.Context, handover.Set, int64) ([][]byte, error) { return nil, nil }

// Import implements handover.ClaimMover; it refuses claims that it can't keep.
func (noClaims) Import(_ context.Context, _ handover.Set, _ int64, claims []byte) error {
	if len(claims) > 0 {
		return errUnrepeatable
	}
	return nil
}

func serving(u *config.Upstream) int {
	n := 0
	for _, replica := range u.Replicas {
		if !replica.Leaving {
			n++
		}
	}
	return n
}

// errNoBase says that this part confirms no plans.
var errNoBase = errors.New("the executor confirms no plans")

// noBases is the base of a store that only executes plans.
type noBases struct{}

// ConfigRevision implements intent.Bases.
func (noBases) ConfigRevision(context.Context) (int64, string, string, error) {
	return 0, "", "", errNoBase
}
