package trestleload

import "math"

// tierSum adds up classes.
type tierSum struct {
	offered, onTarget, resent int
	// firstToken and answer are the worst classes' p99 in milliseconds.
	firstToken, answer float64
}

// attainment is 1 where nothing was offered.
func (s tierSum) attainment() float64 { return ratio(s.onTarget, s.offered) }

// top adds up the classes of the highest tier, rest the others.
func (r *comparedRun) top() tierSum  { return r.sum(true) }
func (r *comparedRun) rest() tierSum { return r.sum(false) }

func (r *comparedRun) sum(highest bool) tierSum {
	var sum tierSum
	for _, c := range r.Report.Classes {
		if (c.Tier == r.highestTier()) != highest {
			continue
		}
		sum.offered += c.Offered
		sum.onTarget += c.OnTarget
		sum.resent += c.Resent
		sum.firstToken = max(sum.firstToken, c.FirstToken.P99)
		sum.answer = max(sum.answer, c.Answer.P99)
	}
	return sum
}

func (r *comparedRun) highestTier() int {
	highest := math.MaxInt
	for _, c := range r.Report.Classes {
		highest = min(highest, c.Tier)
	}
	return highest
}

// idealTop is the highest tier's share on target in the clairvoyant order.
func (r *comparedRun) idealTop() float64 {
	var sum tierSum
	for i, c := range r.Report.Classes {
		if c.Tier == r.highestTier() {
			sum.offered += r.Ideal.Offered[i]
			sum.onTarget += r.Ideal.OnTarget[i]
		}
	}
	return sum.attainment()
}
