package placement

import "math"

const (
	// slowAnswerCost is the cost of each millisecond by which an answer is expected to take longer
	// at the replica than at the mean.
	slowAnswerCost = 0.1
	// answerNoise is the logarithm of a factor up to which it counts as 1 for this cost: engines
	// stall for half a second now and then, and on engines of equal speed chats followed the noise.
	// 0.2 served 0.771 of the requests on time there, 0 served 0.764.
	answerNoise = 0.2
	// A replica below degradedFactor of the mean speed gets up to degradedCost more at
	// fullyDegradedFactor: more than prompt parts cached there are worth, so that a replica that
	// became several times slower loses its sessions, too. Replicas that are always slow are above.
	degradedFactor      = 0.45
	fullyDegradedFactor = 0.36
	degradedCost        = 3000.0
)

// speedCost returns the cost of the replica's speed beyond prefill and waiting. The lock is held.
func (u *upstream) speedCost(r *Request, s *replicaState) float64 {
	if u.speeds == nil {
		return 0
	}
	if r.PromptTokens == 0 {
		factor := s.speed.ServiceFactor()
		return u.serviceMS*(1/factor-1) + degraded(factor) + u.slowStartCost(r, s)
	}
	_, decode := u.speedFactors(s)
	slowest := min(s.speed.DecodeFactor(), s.speed.PrefillFactor())
	return slowAnswerCost*u.answerMS*(1/beyondNoise(decode)-1) + degraded(slowest) + u.slowStartCost(r, s)
}

// beyondNoise returns the factor without what may be noise.
func beyondNoise(factor float64) float64 {
	if factor < 1 {
		return min(factor*noiseFactor, 1)
	}
	return max(factor/noiseFactor, 1)
}

// noiseFactor is the factor with the logarithm answerNoise.
var noiseFactor = math.Exp(answerNoise)

// degraded returns the cost of a replica that is much slower than the mean.
func degraded(factor float64) float64 {
	return degradedCost * min(max((degradedFactor-factor)/(degradedFactor-fullyDegradedFactor), 0), 1)
}
