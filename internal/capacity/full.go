package capacity

import (
	"context"
	"errors"

	"galenatrestle/internal/claim"
	"galenatrestle/internal/refusal"
)

// maxClaims bounds a ledger that never says it is full.
const maxClaims = 1 << 20

// FullLedger measures how many claims a ledger of so many segments a shard
// takes until it refuses one as full, by the bytes of their recorded answers.
func FullLedger(ctx context.Context, segments int, answers []int) ([]Slope, error) {
	taken := Slope{
		Role: RoleClaims, Quantity: "claims taken until the ledger is full", Unit: "claims",
		Against: "bytes of an answer", Target: claimAnswerBytes,
	}
	policy := claim.DefaultPolicy()
	policy.Segments = segments
	for _, n := range answers {
		claims, err := claimsUntilFull(ctx, policy, n)
		if err != nil {
			return nil, err
		}
		taken.add(n, float64(claims))
	}
	return fitAll(taken)
}

func claimsUntilFull(ctx context.Context, policy claim.Policy, answer int) (int64, error) {
	l, err := newLedger(ctx, policy, answer)
	if err != nil {
		return 0, err
	}
	defer l.close()
	err = l.makeAll(ctx, maxClaims)
	var refused *refusal.Error
	if errors.As(err, &refused) && refused.Reason == refusal.ClaimLedgerFull {
		return l.next.Load(), nil
	}
	return 0, err
}
