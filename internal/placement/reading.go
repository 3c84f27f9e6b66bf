package placement

// Ranks is the number of ranks that are told apart; 0 is the most urgent, and
// all beyond the last count as the last.
const Ranks = 10

// PrefillBacklog is the prompt tokens that replicas are reading or have still to read,
// by the rank of their requests. Engines read the prompt of a more urgent request
// first, so that a request waits only for those of its own rank and before.
type PrefillBacklog [Ranks]int

// rankIndex is the place of a rank.
func rankIndex(rank int) int { return min(max(rank, 0), Ranks-1) }

// add counts tokens of a request of the rank; negative ones take it out.
func (r *PrefillBacklog) add(rank, tokens int) { r[rankIndex(rank)] += tokens }

// Total is the tokens of all ranks.
func (r *PrefillBacklog) Total() int { return r.upTo(Ranks - 1) }

// upTo is the tokens that are read before a new request of the rank.
func (r *PrefillBacklog) upTo(rank int) int {
	total := 0
	for _, tokens := range r[:rankIndex(rank)+1] {
		total += tokens
	}
	return total
}

// plus is the sum of both.
func (r PrefillBacklog) plus(other *PrefillBacklog) PrefillBacklog {
	for rank := range r {
		r[rank] += other[rank]
	}
	return r
}

// minus takes a part out. News of the part and of the whole differ in age, so
// that nothing falls below zero.
func (r PrefillBacklog) minus(part *PrefillBacklog) PrefillBacklog {
	for rank := range r {
		r[rank] = max(r[rank]-part[rank], 0)
	}
	return r
}
