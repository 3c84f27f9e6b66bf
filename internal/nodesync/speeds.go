package nodesync

import (
	"math"

	"galenatrestle/internal/replicaspeed"
)

// speedUnits is the number of units of the speed fields in 1: as varints they take 2 to 3 bytes
// each, and the sums of a fleet lose less than a hundredth by rounding.
const speedUnits = 32

// maxSpeedUnits bounds the values of a message, far above the sums of 1,000 nodes.
const maxSpeedUnits = 1 << 24

func weightToProto(o replicaspeed.Observed) uint32 {
	return uint32(min(math.Round(speedUnits*max(o.Weight, 0)), maxSpeedUnits))
}

func logSumToProto(o replicaspeed.Observed) int32 {
	return int32(min(max(math.Round(speedUnits*o.LogSum), -maxSpeedUnits), maxSpeedUnits))
}

// observedFromProto bounds the mean, so that a node with wrong values has a limited effect.
func observedFromProto(weight uint32, logSum int32) replicaspeed.Observed {
	return replicaspeed.Observed{
		Weight: float64(min(weight, maxSpeedUnits)) / speedUnits, LogSum: float64(logSum) / speedUnits,
	}.Bounded()
}
