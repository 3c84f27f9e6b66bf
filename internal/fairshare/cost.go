package fairshare

import "time"

// plainCost is the cost of a call without a prompt, in tokens. Calls of plain services are only
// compared with each other; the number keeps the rounding of sums between nodes negligible.
const plainCost = 1000

// Cost is decayed cost, in tokens.
type Cost struct {
	// Asked is the cost of all calls, refused ones included, Started that of the admitted ones.
	Asked, Started float64
}

func (c Cost) plus(other Cost) Cost {
	return Cost{Asked: c.Asked + other.Asked, Started: c.Started + other.Started}
}

// minus subtracts part, but not below zero: the two may come from reports of different age.
func (c Cost) minus(part Cost) Cost {
	return Cost{Asked: max(c.Asked-part.Asked, 0), Started: max(c.Started-part.Started, 0)}
}

func (c Cost) times(factor float64) Cost {
	return Cost{Asked: c.Asked * factor, Started: c.Started * factor}
}

// demand returns the cost that the workspace's callers want, without repeats. A caller repeats a refused
// call once, so a call of which the part r is refused is asked 1+r times. Counted with the repeats, refused
// workspaces would seem to ask for twice as much, and small ones for more than their fair part.
func (c Cost) demand() float64 {
	if c.Asked <= 0 {
		return 0
	}
	refusedPart := max(c.Asked-c.Started, 0) / c.Asked
	return c.Asked / (1 + refusedPart)
}

// CallCost returns the cost of a call: the prompt tokens to prefill and the answer tokens to decode.
// promptTokens is zero for a plain service.
func CallCost(promptTokens, cachedTokens, answerTokens int) float64 {
	if promptTokens == 0 {
		return plainCost
	}
	return float64(max(promptTokens-cachedTokens, 0) + answerTokens)
}

// account is the decayed cost of one workspace at this node.
type account struct {
	name      string
	cost      Cost
	decayedAt time.Time
}
