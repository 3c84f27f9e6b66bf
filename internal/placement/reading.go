package placement

// Ranks is the number of distinct ranks; 0 is the most urgent. Higher ranks count as the last.
const Ranks = 10

// PrefillBacklog is the prompt tokens not yet prefilled, by rank of their requests. Engines
// prefill more urgent requests first, so a request waits only for its own and more urgent
// ranks.
type PrefillBacklog [Ranks]int

func rankIndex(rank int) int { return min(max(rank, 0), Ranks-1) }

// add adds the tokens of a request of the rank; negative tokens remove it.
func (b *PrefillBacklog) add(rank, tokens int) { b[rankIndex(rank)] += tokens }

// Total returns the tokens of all ranks.
func (b *PrefillBacklog) Total() int { return b.upTo(Ranks - 1) }

// upTo returns the tokens that are prefilled before a new request of the rank.
func (b *PrefillBacklog) upTo(rank int) int {
	total := 0
	for _, tokens := range b[:rankIndex(rank)+1] {
		total += tokens
	}
	return total
}

func (b PrefillBacklog) plus(other *PrefillBacklog) PrefillBacklog {
	for rank := range b {
		b[rank] += other[rank]
	}
	return b
}

// minus subtracts part, but not below zero: the two may come from reports of different age.
func (b PrefillBacklog) minus(part *PrefillBacklog) PrefillBacklog {
	for rank := range b {
		b[rank] = max(b[rank]-part[rank], 0)
	}
	return b
}
